#include "applehatch/experiment/datagram-relay.h"

namespace applehatch::experiment {

DatagramRelay::DatagramRelay(const std::string &ip, core::Address target, std::uint16_t port,
                             Rewrite rewrite)
    : RelayThread({ip, port})
    , target_(std::move(target))
    , rewrite_(std::move(rewrite))
    , listener_(bindDatagrams(address_))
{
    start();
}

DatagramRelay::~DatagramRelay()
{
    stop();
}

auto DatagramRelay::carried() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return carried_;
}

auto DatagramRelay::lost() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return lost_;
}

auto DatagramRelay::mayCarry() -> bool
{
    ++(partitioned_ ? lost_ : carried_);
    return !partitioned_;
}

auto DatagramRelay::forward() -> void
{
    while (const auto datagram = receiveDatagram(listener_)) {
        if (!mayCarry()) {
            continue;
        }
        const Source source{datagram->from.ip, datagram->from.port};
        auto found = sources_.find(source);
        if (found == sources_.end()) {
            core::Address own{address_.ip, 0};
            found = sources_.emplace(source, bindDatagrams(own)).first;
        }
        sendDatagram(found->second, target_, rewrite_ ? rewrite_(datagram->data) : datagram->data);
    }
}

auto DatagramRelay::giveBack(const Source &source, Socket &socket) -> void
{
    while (const auto datagram = receiveDatagram(socket)) {
        if (mayCarry()) {
            sendDatagram(listener_, {source.first, source.second}, datagram->data);
        }
    }
}

auto DatagramRelay::carry(std::vector<pollfd> &waited) -> void
{
    forward();
    waited.assign(1, {listener_.descriptor(), POLLIN, 0});
    for (auto &[source, socket] : sources_) {
        giveBack(source, socket);
        waited.push_back({socket.descriptor(), POLLIN, 0});
    }
}

} // namespace applehatch::experiment
