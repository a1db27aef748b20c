/// What relays of any kind have in common.
#pragma once

#include "applehatch/experiment/socket.h"

#include <poll.h>

#include <mutex>
#include <thread>
#include <vector>

namespace applehatch::experiment {

/// Listens at an address and carries on a thread of its own. Thread-safe.
class RelayThread
{
public:
    RelayThread(const RelayThread &) = delete;
    auto operator=(const RelayThread &) -> RelayThread & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return address_; }

    /// While set, nothing is carried either way.
    auto setPartitioned(bool partitioned) -> void;

protected:
    explicit RelayThread(core::Address address);
    virtual ~RelayThread();

    /// To be called when the whole relay is made.
    auto start() -> void;

    /// To be called before any part of the relay goes.
    auto stop() -> void;

    /// Carries what is there and puts what to wait for into `waited`, which holds what was waited
    /// for before. Called with `mutex_` held.
    virtual auto carry(std::vector<pollfd> &waited) -> void = 0;

    core::Address address_;
    mutable std::mutex mutex_;
    bool partitioned_ = false;

private:
    auto loop() -> void;

    bool stopping_ = false;
    std::thread thread_;
};

} // namespace applehatch::experiment
