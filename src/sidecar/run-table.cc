#include "run-table.h"

#include <utility>

namespace applehatch::sidecar {

RunTable::RunTable(const clients::UpstreamClient &client, WorkerPool &workers,
                   std::function<void(core::SidecarEvent)> report)
    : client_(client)
    , workers_(workers)
    , report_(std::move(report))
{ }

auto RunTable::start(core::StartRun start) -> void
{
    const auto cancelled = std::make_shared<std::atomic<bool>>(false);
    {
        const std::lock_guard lock(mutex_);
        running_.emplace(start.run, Running{start.request, cancelled});
    }
    workers_.run([this, cancelled, held = std::move(start)] { carryOut(held, *cancelled); });
}

auto RunTable::carryOut(const core::StartRun &start, const std::atomic<bool> &cancelled) -> void
{
    const auto run = start.run;
    clients::CallHooks hooks;
    hooks.onHead = [this, run](int status, core::Headers headers, bool warm) {
        report_(core::RunHead{run, status, std::move(headers), warm});
    };
    hooks.onData = [this, run](std::string data) { report_(core::RunChunk{run, std::move(data)}); };
    const auto outcome = client_.run(start, hooks, cancelled);
    {
        const std::lock_guard lock(mutex_);
        running_.erase(run);
    }
    if (outcome.whole)
        report_(core::RunEnd{run});
    else
        report_(core::RunBroken{run, outcome.how});
}

auto RunTable::cancel(core::RunId run) -> void
{
    core::RequestId request;
    {
        const std::lock_guard lock(mutex_);
        const auto found = running_.find(run);
        if (found == running_.end())
            return;
        *found->second.cancelled = true;
        request = found->second.request;
    }
    // The engine would go on computing for nobody; an error here costs only its time.
    workers_.run([this, request] { (void)client_.cancel(request); });
}

} // namespace applehatch::sidecar
