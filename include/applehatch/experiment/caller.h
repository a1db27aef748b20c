/// A caller of routers: reads whole answers, and can be slow, leave, stop reading or come back.
#pragma once

#include "applehatch/core/message.h"
#include "applehatch/experiment/socket.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// One request to a router.
struct CallerRequest
{
    std::string method = "POST";
    std::string path = "/v1/chat/completions";
    core::Headers headers;
    std::string body;
};

/// One server-sent event.
struct ServerEvent
{
    std::string id;
    std::string name; ///< Empty for an ordinary one.
    std::string data;
};

/// What came back.
struct CallerAnswer
{
    int status = 0; ///< 0 when no head was read.
    core::Headers headers;
    std::string body;    ///< With chunk framing taken off.
    bool framed = false; ///< The length or the last chunk said that this is all.
    milliseconds toFirstByte{0};

    /// The value of a header, whatever its name's case; empty when absent.
    [[nodiscard]] auto header(const std::string &name) const -> std::string;

    /// Server-sent events that arrived whole.
    [[nodiscard]] auto events() const -> std::vector<ServerEvent>;

    /// The upstream's stream as its events carried it, without ids and without an error event.
    [[nodiscard]] auto streamData() const -> std::string;

    /// The `id:` of the last event; empty without any.
    [[nodiscard]] auto lastEventId() const -> std::string;

    /// The problem document, from the body or from an error event; null without one.
    [[nodiscard]] auto problem() const -> nlohmann::json;

    /// `kind` of the problem document; empty without one.
    [[nodiscard]] auto problemKind() const -> std::string;
};

/// One connection to a router, for one request.
class CallerConnection
{
public:
    /// Connects and sends `request`, with a length and `Connection: close`.
    CallerConnection(const core::Address &router, const CallerRequest &request);

    /// Connects and sends these bytes as they are.
    CallerConnection(const core::Address &router, std::string_view bytes);

    /// Reads until `enough` holds, the answer is complete, the connection ends or nothing came for
    /// `limit`; in any case no longer than 40 s. May be called again to go on.
    auto read(const std::function<bool(const CallerAnswer &)> &enough = {},
              milliseconds limit = patience) -> CallerAnswer &;

    /// Leaves without waiting for the rest.
    auto leave() -> void { socket_.close(); }
    auto reset() -> void { socket_.reset(); }

    [[nodiscard]] auto socket() -> Socket & { return socket_; }
    [[nodiscard]] auto answer() const -> const CallerAnswer & { return answer_; }

private:
    auto take(const std::string &data) -> void;
    [[nodiscard]] auto takeHead() -> bool;
    auto takeChunks() -> void;

    Socket socket_;
    CallerAnswer answer_;
    std::string raw_; ///< Not yet decoded.
    bool headRead_ = false;
    bool chunked_ = false;
    std::optional<std::size_t> length_;
    Clock::time_point start_ = Clock::now();
};

/// One call read to its end.
[[nodiscard]] auto call(const core::Address &router, const CallerRequest &request,
                        milliseconds limit = patience) -> CallerAnswer;

/// A GET without a customer, such as for health and metrics.
[[nodiscard]] auto get(const core::Address &server, const std::string &path,
                       milliseconds limit = patience) -> CallerAnswer;

/// True when `stream` ends with the engines' end marker.
[[nodiscard]] auto streamIsWhole(const std::string &stream) -> bool;

} // namespace applehatch::experiment
