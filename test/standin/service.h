/// A plain service's stand-in: counts what it was asked to do, with faults to order.
#pragma once

#include "standin/upstream-server.h"

#include <memory>
#include <string>

namespace applehatch::standin {

/// How one service behaves.
struct ServiceOptions
{
    core::Address listen{"127.0.0.1", 0};
    milliseconds delay{20};    ///< Before each answer.
    std::size_t answerPad = 0; ///< Bytes added to each answer.
    int threads = 200;
    std::string logPath; ///< Run record that outlives a crash; empty keeps none.
};

/// The answer to one call, so that a caller can tell its own whole answer from any other.
[[nodiscard]] auto serviceAnswer(const std::string &method, const std::string &path,
                                 const std::string &body, std::size_t pad = 0) -> std::string;

/// One service, in one life.
class Service
{
public:
    explicit Service(ServiceOptions options);
    ~Service();
    Service(const Service &) = delete;
    auto operator=(const Service &) -> Service & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return server_->address(); }
    [[nodiscard]] auto record() -> UpstreamRecord & { return record_; }

private:
    auto serve(const HttpRequest &request) -> void;
    auto run(const HttpRequest &request) -> std::string;

    ServiceOptions options_;
    std::string epoch_;
    UpstreamRecord record_;
    std::unique_ptr<HttpServer> server_; ///< Last, so that it stops before what it uses.
};

} // namespace applehatch::standin
