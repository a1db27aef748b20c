#include "applehatch/wire/datagram.h"

#include "applehatch/wire/codec.h"

#include "socket-address.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace applehatch::wire {

namespace {

class Descriptor
{
public:
    explicit Descriptor(int number)
        : number_(number)
    { }
    ~Descriptor()
    {
        if (number_ >= 0)
            ::close(number_);
    }
    Descriptor(const Descriptor &) = delete;
    auto operator=(const Descriptor &) -> Descriptor & = delete;

    [[nodiscard]] auto number() const -> int { return number_; }

private:
    int number_;
};

auto lastError() -> std::error_code
{
    return {errno, std::generic_category()};
}

auto addressOf(const sockaddr_in &from) -> core::Address
{
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &from.sin_addr, ip.data(), ip.size());
    return {ip.data(), ntohs(from.sin_port)};
}

} // namespace

struct DigestSocket::State
{
    explicit State(DigestHooks given)
        : hooks(std::move(given))
        , socket(::socket(AF_INET, SOCK_DGRAM, 0))
    { }

    auto receiveAll() -> void;
    auto receiveOne() -> void;

    DigestHooks hooks;
    Descriptor socket;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

auto DigestSocket::State::receiveAll() -> void
{
    while (!stopping)
        receiveOne();
}

auto DigestSocket::State::receiveOne() -> void
{
    // One byte more than allowed, so that an oversized datagram is detected.
    std::array<char, maxDatagramBytes + 1> buffer{};
    sockaddr_in from{};
    socklen_t fromSize = sizeof(from);
    const auto size = recvfrom(socket.number(), buffer.data(), buffer.size(), 0,
                               reinterpret_cast<sockaddr *>(&from), &fromSize);
    if (size < 0 || stopping)
        return;
    const auto bytes = static_cast<std::size_t>(size);
    if (hooks.onReceived)
        hooks.onReceived(bytes);
    auto digest = decodeDigest({buffer.data(), bytes});
    if (digest)
        hooks.onDigest(std::move(*digest), addressOf(from));
    else if (hooks.onMalformed)
        hooks.onMalformed();
}

DigestSocket::DigestSocket(DigestHooks hooks)
    : state_(std::make_unique<State>(std::move(hooks)))
{ }

DigestSocket::~DigestSocket()
{
    state_->stopping = true;
    // On Linux this wakes a thread that waits in `recvfrom`, although UDP has no connection.
    ::shutdown(state_->socket.number(), SHUT_RDWR);
    if (state_->thread.joinable())
        state_->thread.join();
}

auto DigestSocket::bind(const core::Address &address, core::Address &bound) -> std::error_code
{
    auto wanted = socketAddress(address);
    if (!wanted)
        return std::make_error_code(std::errc::invalid_argument);
    socklen_t size = sizeof(*wanted);
    auto *name = reinterpret_cast<sockaddr *>(&*wanted);
    if (::bind(state_->socket.number(), name, size) != 0)
        return lastError();
    if (getsockname(state_->socket.number(), name, &size) != 0)
        return lastError();
    bound = addressOf(*wanted);
    state_->thread = std::thread([state = state_.get()] { state->receiveAll(); });
    return {};
}

auto DigestSocket::send(const core::Address &to, const core::Digest &digest) -> void
{
    const auto target = socketAddress(to);
    const auto bytes = encodeDigest(digest);
    if (!target || bytes.size() > maxDatagramBytes)
        return;
    const auto sent = sendto(state_->socket.number(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                             reinterpret_cast<const sockaddr *>(&*target), sizeof(*target));
    if (sent >= 0 && state_->hooks.onSent)
        state_->hooks.onSent(bytes.size());
}

} // namespace applehatch::wire
