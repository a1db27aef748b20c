#include "applehatch/clients/upstream-client.h"

#include "upstream-client-exchange.h"
#include "upstream-client-stream-end.h"

#include "applehatch/settings/foreign-json.h"

#include <utility>

namespace applehatch::clients {

namespace {

using nlohmann::json;

constexpr auto callLimit = std::chrono::seconds(5);
constexpr std::size_t maxAnswerBytes = 1U << 20U;
constexpr std::size_t maxContextBytes = 64U << 20U;

/// A completely read answer.
struct Answer
{
    int status = 0;
    std::string body;
};

/// One short call on its own event loop, which runs in the calling thread.
class ShortCall
{
public:
    ShortCall(const core::Address &upstream, std::size_t maxBytes)
        : maxBytes_(maxBytes)
        , exchange_(io_.provider->getNetwork(), *table_, upstream)
    { }

    /// Empty when the call failed, took longer than `limit` or its body exceeded `maxBytes`.
    auto run(const ExchangeRequest &request, core::Duration limit) -> std::optional<Answer>
    {
        using Result = std::optional<Answer>;
        auto work = exchange_.connect()
                        .then([this, &request] { return exchange_.send(request); })
                        .then([this](std::optional<ExchangeHead> &&head) -> kj::Promise<bool> {
                            if (!head || !head->framed) {
                                return false;
                            }
                            answer_.status = head->status;
                            return readOn();
                        })
                        .then([this](bool whole) { return whole ? Result(answer_) : Result(); });
        auto tooLate =
            afterStallAwareDelay(io_.provider->getTimer(), limit).then([] { return Result(); });
        return work.exclusiveJoin(kj::mv(tooLate)).wait(io_.waitScope);
    }

private:
    auto readOn() -> kj::Promise<bool>
    {
        return exchange_.read().then([this](std::string_view data) -> kj::Promise<bool> {
            answer_.body.append(data);
            const auto fits = answer_.body.size() <= maxBytes_;
            return data.empty() || !fits ? kj::Promise<bool>(fits) : readOn();
        });
    }

    std::size_t maxBytes_;
    kj::AsyncIoContext io_ = kj::setupAsyncIo();
    kj::Own<kj::HttpHeaderTable> table_ = kj::HttpHeaderTable::Builder().build();
    Exchange exchange_;
    Answer answer_;
};

auto call(const core::Address &upstream, const ExchangeRequest &request, core::Duration limit,
          std::size_t maxBytes) -> std::optional<Answer>
{
    if (!sendable(request)) {
        return std::nullopt;
    }
    try {
        return ShortCall(upstream, maxBytes).run(request, limit);
    } catch (const kj::Exception &) {
        // Callers retry later and do not distinguish between failures.
        return std::nullopt;
    }
}

auto getJson(const core::Address &upstream, const std::string &path, core::Duration limit) -> json
{
    const auto answer = call(upstream, {"GET", path, {}, {}}, limit, maxAnswerBytes);
    if (!answer || answer->status != 200) {
        return json(json::value_t::discarded);
    }
    return settings::tryParseForeignJson(answer->body);
}

auto number(const json &document, const char *key) -> std::uint64_t
{
    const auto found = document.find(key);
    return found != document.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

auto text(const json &document, const char *key) -> std::string
{
    const auto found = document.find(key);
    return found != document.end() && found->is_string() ? found->get<std::string>() : "";
}

auto contextPath(core::ChatKey chat) -> std::string
{
    return "/v1/cache/" + chatHex(chat);
}

auto addEvent(const json &event, core::CacheEvents &events) -> void
{
    if (!event.is_object()) {
        events.gap = true;
        return;
    }
    const auto chat = chatFromHex(text(event, "chat"));
    const auto kind = text(event, "op");
    if (kind == "stored" && chat != 0) {
        events.stored.push_back(chat);
    } else if (kind == "evicted" && chat != 0) {
        events.evicted.push_back(chat);
    }
}

} // namespace

UpstreamClient::UpstreamClient(core::Address upstream)
    : upstream_(std::move(upstream))
{ }

auto UpstreamClient::cancel(const core::RequestId &request) const -> std::error_code
{
    const auto answer =
        call(upstream_, {"POST", "/v1/cancel/" + request, {}, {}}, callLimit, maxAnswerBytes);
    return answer ? std::error_code{} : std::make_error_code(std::errc::host_unreachable);
}

auto UpstreamClient::state(core::Duration timeout) const -> core::UpstreamReport
{
    core::UpstreamReport report;
    const auto document = getJson(upstream_, "/v1/state", timeout);
    if (!document.is_object() || text(document, "epoch").empty()) {
        return report;
    }
    report.reachable = true;
    report.epoch = text(document, "epoch");
    report.running = static_cast<std::uint32_t>(number(document, "running"));
    report.waiting = static_cast<std::uint32_t>(number(document, "waiting"));
    report.fence = number(document, "fence");
    for (const auto &model : document.value("models", json::array())) {
        if (model.is_string()) {
            report.models.push_back(model.get<std::string>());
        }
    }
    return report;
}

auto UpstreamClient::cacheEvents(std::uint64_t &sequence) const -> core::CacheEvents
{
    core::CacheEvents events;
    const auto document =
        getJson(upstream_, "/v1/cache/events?after=" + std::to_string(sequence), callLimit);
    if (!document.is_object()) {
        return events;
    }
    const auto gap = document.find("gap");
    events.gap = gap != document.end() && *gap == true;
    const auto list = document.find("events");
    if (list != document.end() && list->is_array()) {
        for (const auto &event : *list) {
            addEvent(event, events);
        }
    }
    sequence = number(document, "next");
    return events;
}

auto UpstreamClient::order(const core::GiveOrder &order) const -> core::OrderAnswered
{
    const auto *kind = order.kind == core::OrderKind::LoadModel ? "load-model" : "unload-model";
    const auto body = json{{"fence", order.fence}, {"kind", kind}, {"model", order.model}}.dump();
    const core::Headers headers = {{"Content-Type", "application/json"}};
    const auto answer =
        call(upstream_, {"POST", "/v1/orders", headers, body}, callLimit, maxAnswerBytes);
    if (!answer) {
        return {order.fence, false, "no answer"};
    }
    return {order.fence, answer->status == 200, "status " + std::to_string(answer->status)};
}

auto UpstreamClient::handOff(core::ChatKey chat, const core::Address &to) const -> std::error_code
{
    const auto path = contextPath(chat);
    const auto exported = call(upstream_, {"GET", path, {}, {}}, callLimit, maxContextBytes);
    if (!exported) {
        return std::make_error_code(std::errc::host_unreachable);
    }
    if (exported->status != 200) {
        return std::make_error_code(std::errc::no_such_file_or_directory);
    }
    const auto imported = call(to, {"PUT", path, {}, exported->body}, callLimit, maxAnswerBytes);
    if (!imported) {
        return std::make_error_code(std::errc::host_unreachable);
    }
    return imported->status == 200 ? std::error_code{}
                                   : std::make_error_code(std::errc::operation_not_permitted);
}

} // namespace applehatch::clients
