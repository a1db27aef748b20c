#include "request-reader.h"

#include "body-fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace applehatch::router {

namespace {

using core::ErrorKind;
using core::Failure;
using process::BodyRead;
using process::HttpExchange;

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxKeyBytes = 200;
constexpr std::size_t maxTokenBytes = 512;
constexpr int largestPriority = 9;
constexpr std::int64_t maxDeadlineMs = 86'400'000; // One day; each pool sets a lower limit.

// Whoever stands still gives way within this time.
constexpr core::Duration noRoomRetryAfter = std::chrono::seconds(1);

struct CustomerName
{
    std::string team;
    std::string customer;
};

auto badRequest(std::string detail) -> Failure
{
    return {ErrorKind::BadRequest, core::Run::NotRun, std::move(detail), std::nullopt};
}

auto lower(std::string_view text) -> std::string
{
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

// Returns whether a header applies to one connection only or is set by the next hop itself.
auto isHopByHop(const std::string &name) -> bool
{
    constexpr std::array names{
        std::string_view("host"),       std::string_view("connection"),
        std::string_view("keep-alive"), std::string_view("content-length"),
        std::string_view("expect"),     std::string_view("transfer-encoding"),
        std::string_view("te"),         std::string_view("trailer"),
        std::string_view("upgrade"),    std::string_view("x-request-id"),
    };
    return name.starts_with("proxy-") || name.starts_with("applehatch-")
        || std::find(names.begin(), names.end(), name) != names.end();
}

auto forwardedHeaders(const HttpExchange &exchange, bool modelCall) -> core::Headers
{
    core::Headers kept;
    for (auto &header : exchange.headers()) {
        const auto name = lower(header.first);
        if (modelCall ? name == "content-type" : !isHopByHop(name))
            kept.push_back(std::move(header));
    }
    return kept;
}

auto readCustomer(const HttpExchange &exchange) -> ReadResult<CustomerName>
{
    const auto text = exchange.header("Applehatch-Customer");
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return badRequest("Applehatch-Customer: <team>/<customer> is required");
    const auto team = text.substr(0, slash);
    const auto customer = text.substr(slash + 1);
    const auto isValidName = [](std::string_view name) {
        return !name.empty() && name.size() <= maxNameBytes
            && name.find('/') == std::string_view::npos;
    };
    if (!isValidName(team) || !isValidName(customer))
        return badRequest("Applehatch-Customer must be <team>/<customer>");
    return CustomerName{std::string(team), std::string(customer)};
}

auto readBody(HttpExchange &exchange, std::string &body) -> std::optional<Failure>
{
    switch (exchange.readBody(maxRequestBody, body)) {
    case BodyRead::Complete:
        return std::nullopt;
    case BodyRead::TooLarge:
        return Failure{ErrorKind::BodyTooLarge, core::Run::NotRun,
                       "at most " + std::to_string(maxRequestBody) + " bytes", std::nullopt};
    case BodyRead::NoRoom:
        return Failure{ErrorKind::Overloaded, core::Run::NotRun, "no room for the body",
                       noRoomRetryAfter};
    case BodyRead::Incomplete:
        break;
    }
    return badRequest("the body ended early");
}

// Reads an integer header. Returns nothing when it is absent and a failure when it is not an
// integer or out of range.
auto readNumber(const HttpExchange &exchange, const char *name, std::int64_t minimum,
                std::int64_t maximum) -> ReadResult<std::optional<std::int64_t>>
{
    const auto text = exchange.header(name);
    if (text.empty())
        return std::optional<std::int64_t>();
    std::int64_t value = 0;
    const auto *last = text.data() + text.size();
    const auto result = std::from_chars(text.data(), last, value);
    if (result.ec != std::errc() || result.ptr != last || value < minimum || value > maximum) {
        return badRequest(std::string(name) + " must be a whole number from "
                          + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return std::optional(value);
}

auto checkLength(const HttpExchange &exchange, const char *name, std::size_t maximum)
    -> std::optional<Failure>
{
    if (exchange.header(name).size() <= maximum)
        return std::nullopt;
    return badRequest(std::string(name) + " is longer than " + std::to_string(maximum) + " bytes");
}

auto checkTexts(const HttpExchange &exchange) -> std::optional<Failure>
{
    const std::array limits{
        std::pair("Applehatch-Chat", maxKeyBytes),
        std::pair("Idempotency-Key", maxKeyBytes),
        std::pair("Applehatch-Context", maxTokenBytes),
        std::pair("Applehatch-Ticket", maxTokenBytes),
    };
    for (const auto &[name, maximum] : limits) {
        if (auto failure = checkLength(exchange, name, maximum))
            return failure;
    }
    const auto first = exchange.header("Applehatch-First-Send");
    if (!first.empty() && first != "true" && first != "false")
        return badRequest("Applehatch-First-Send must be true or false");
    return std::nullopt;
}

auto readTerms(const HttpExchange &exchange, core::CallerRequest &into) -> std::optional<Failure>
{
    auto customer = readCustomer(exchange);
    if (auto *failure = std::get_if<Failure>(&customer))
        return std::move(*failure);
    if (auto failure = checkTexts(exchange))
        return failure;
    auto deadline = readNumber(exchange, "Applehatch-Deadline-Ms", 1, maxDeadlineMs);
    if (auto *failure = std::get_if<Failure>(&deadline))
        return std::move(*failure);
    auto priority = readNumber(exchange, "Applehatch-Priority", 0, largestPriority);
    if (auto *failure = std::get_if<Failure>(&priority))
        return std::move(*failure);

    auto &terms = into.terms;
    terms.team = std::get<CustomerName>(customer).team;
    terms.customer = std::get<CustomerName>(customer).customer;
    if (const auto chat = exchange.header("Applehatch-Chat"); !chat.empty())
        terms.chat = core::stableHash(chat);
    terms.priority = static_cast<int>(std::get<0>(priority).value_or(0));
    terms.idempotencyKey = exchange.header("Idempotency-Key");
    terms.runOnce = !terms.idempotencyKey.empty();
    terms.firstSend = exchange.header("Applehatch-First-Send") == "true";
    if (const auto milliseconds = std::get<0>(deadline))
        into.deadline = std::chrono::milliseconds(*milliseconds);
    into.contextToken = exchange.header("Applehatch-Context");
    into.ticket = exchange.header("Applehatch-Ticket");
    return std::nullopt;
}

auto fullPath(const HttpExchange &exchange) -> std::string
{
    std::string path(exchange.path());
    if (!exchange.query().empty())
        path.append("?").append(exchange.query());
    return path;
}

} // namespace

auto readCall(HttpExchange &exchange, const core::RequestId &request)
    -> ReadResult<core::CallerRequest>
{
    core::CallerRequest read;
    read.request = request;
    if (auto failure = readTerms(exchange, read))
        return std::move(*failure);
    std::string body;
    if (auto failure = readBody(exchange, body))
        return std::move(*failure);
    const auto modelCall = exchange.path() == completionsPath;
    if (modelCall) {
        const auto fields = readBodyFields(body);
        if (exchange.method() != "POST" || !fields || fields->model.empty())
            return badRequest("a model call is a POST of a JSON object with `model`");
        read.terms.model = fields->model;
        read.call.stream = fields->stream;
    }
    read.call.method = exchange.method();
    read.call.path = fullPath(exchange);
    read.call.headers = forwardedHeaders(exchange, modelCall);
    read.call.body = std::make_shared<const std::string>(std::move(body));
    return read;
}

auto readResume(HttpExchange &exchange, const core::RequestId &request)
    -> ReadResult<core::CallerResume>
{
    auto customer = readCustomer(exchange);
    if (auto *failure = std::get_if<Failure>(&customer))
        return std::move(*failure);
    const auto position = exchange.header("Last-Event-ID");
    if (exchange.method() != "GET" || position.empty() || position.size() > maxTokenBytes)
        return badRequest("an answer is resumed by GET with Last-Event-ID");
    auto &name = std::get<CustomerName>(customer);
    return core::CallerResume{request, std::string(position), std::move(name.team),
                              std::move(name.customer)};
}

auto readTicketRequest(HttpExchange &exchange, const core::RequestId &request)
    -> ReadResult<core::TicketRequest>
{
    auto customer = readCustomer(exchange);
    if (auto *failure = std::get_if<Failure>(&customer))
        return std::move(*failure);
    std::string body;
    if (auto failure = readBody(exchange, body))
        return std::move(*failure);
    auto fields = readBodyFields(body);
    if (exchange.method() != "POST" || !fields || fields->pool.empty())
        return badRequest("a ticket is asked for by POST of a JSON object with `pool`");
    auto &name = std::get<CustomerName>(customer);
    return core::TicketRequest{request, std::move(name.team), std::move(name.customer),
                               std::move(fields->pool)};
}

} // namespace applehatch::router
