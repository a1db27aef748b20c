// All gateways end while engines of two versions serve: whether streams that are taken up go on.
#include "../standins-2/chats.h"

using namespace review;

auto main(int argc, char **argv) -> int
{
    if (argc < 3)
        return 2;
    ChatOptions options;
    options.firstVersion = 6;
    options.secondVersion = 6;
    options.killed = 3;
    options.away = Milliseconds(4800);
    Record record(argv[2]);
    Chats chats(options, record, argv[1]);
    return chats.isReady() ? chats.run() : 2;
}
