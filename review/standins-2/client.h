/// A requester: one request at a time on a kept channel, and what came of it.
#pragma once

#include "net.h"
#include "record.h"

#include <string>

namespace review {

struct Call
{
    std::string method = "GET";
    std::string path;
    std::string id;
    std::string headers; ///< Further ones, each with its line end.
    std::string body;
    int deadlineMs = 600;
    std::string key = "n2ctnfzs989anu6wsjnb"; ///< Of the tenant `hule930`.
};

/// A request's text as a requester writes it.
auto textOf(const Call &call, const std::string &deadline) -> std::string;

class Client
{
public:
    Client(Endpoint gateway, Record &record);

    /// Opens the channel unless it is open.
    auto connect(Milliseconds patience) -> bool;
    auto close() -> void;
    [[nodiscard]] auto isConnected() const -> bool { return socket_.isOpenForReading(); }
    /// Sends the request and waits up to `patience` for its answer. Closes the channel unless the
    /// answer is whole and lets it be kept.
    auto call(const Call &call, Milliseconds patience) -> Answer;

private:
    Endpoint gateway_;
    Record &record_;
    Socket socket_;
    std::string buffer_;
};

/// The host of the configuration that the cases use.
inline constexpr auto host = "ficu95.example";
/// The key of the configuration's second tenant, `wuno96`.
inline constexpr auto secondKey = "anfqasnmgkcuyj8pjbvk";

/// The configuration: a route each for long streams (`/draft/`, not resumable, one attempt), for
/// streams that may be resumed (`/chat/`), and for unsafe and safe calls (`/save/`, `/fetch/`).
auto configuration(int version) -> std::string;

} // namespace review
