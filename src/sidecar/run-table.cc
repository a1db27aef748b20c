#include "run-table.h"

#include <future>
#include <utility>

namespace applehatch::sidecar {

RunTable::RunTable(wire::LinkLoop &loop, core::Address upstream, core::Duration idleTimeout,
                   std::function<void(core::SidecarEvent)> report)
    : loop_(loop)
{
    loop_.run([this, captured = std::move(upstream), idleTimeout, report = std::move(report)](
                  kj::AsyncIoContext &io) { runs_.emplace(io, captured, idleTimeout, report); });
}

auto RunTable::start(core::StartRun start) -> void
{
    loop_.run([this, captured = std::move(start)](kj::AsyncIoContext & /*io*/) mutable {
        if (runs_)
            runs_->start(std::move(captured));
    });
}

auto RunTable::cancel(core::RunId run, std::function<void(core::RequestId)> stopAtUpstream) -> void
{
    loop_.run([this, run, stop = std::move(stopAtUpstream)](kj::AsyncIoContext & /*io*/) {
        const auto request = runs_ ? runs_->cancel(run) : std::nullopt;
        if (request)
            stop(*request);
    });
}

auto RunTable::stop() -> void
{
    std::promise<void> done;
    loop_.run([this, &done](kj::AsyncIoContext & /*io*/) {
        runs_.reset();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace applehatch::sidecar
