// One gateway ends just before a release begins: whether its streams go on at the others.
#include "../standins-2/chats.h"

using namespace review;

auto main(int argc, char **argv) -> int
{
    if (argc < 3)
        return 2;
    ChatOptions options;
    options.killed = 1;
    options.joining = 3;
    options.joinAfter = Milliseconds(1500);
    options.away = Milliseconds(3000);
    Record record(argv[2]);
    Chats chats(options, record, argv[1]);
    return chats.isReady() ? chats.run() : 2;
}
