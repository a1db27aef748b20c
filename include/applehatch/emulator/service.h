/// A plain service's stand-in: counts what it was asked to do, with faults to order.
#pragma once

#include "applehatch/emulator/service-answer.h"
#include "applehatch/emulator/upstream-server.h"

#include <memory>
#include <string>

namespace applehatch::emulator {

/// How one service behaves.
struct PlainServiceOptions
{
    core::Address listen{"127.0.0.1", 0};
    milliseconds delay{20};    ///< Before each answer.
    std::size_t answerPad = 0; ///< Bytes added to each answer.
    int threads = 200;
    std::string logPath; ///< Run record that outlives a crash; empty keeps none.
};

/// One service, in one life.
class PlainService
{
public:
    explicit PlainService(PlainServiceOptions options);
    ~PlainService();
    PlainService(const PlainService &) = delete;
    auto operator=(const PlainService &) -> PlainService & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return server_->address(); }
    [[nodiscard]] auto record() -> UpstreamRecord & { return record_; }

private:
    auto serve(const HttpRequest &request) -> void;
    auto sendAnswer(const HttpRequest &request, bool early) const -> void;

    PlainServiceOptions options_;
    std::string epoch_;
    UpstreamRecord record_;
    std::unique_ptr<HttpServer> server_; ///< Last, so that it stops before what it uses.
};

} // namespace applehatch::emulator
