/// A stand-in for the platform's store: entries, watches, and a history that it may forget.
#pragma once

#include "gateway/gateway-fixture.h"
#include "support/base64.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace applehatch::gateway::testing {

class Store
{
public:
    explicit Store(asio::io_context &loop)
        : loop_(loop)
        , server_(loop, "store",
                  [this](auto &connection, const auto &request) { answer(connection, request); })
    { }

    [[nodiscard]] auto address() const -> core::Address { return server_.entry("store").address; }

    auto put(const std::string &key, const std::string &value) -> void
    {
        values_[key] = value;
        ++revision_;
        const auto created = created_.try_emplace(key, revision_).first->second;
        const auto item = R"({"key":")" + key + R"(","value":")"
            + applehatch::testing::base64(value) + R"(","revision":)" + std::to_string(revision_)
            + R"(,"created":)" + std::to_string(created) + '}';
        items_[key] = item;
        noteChange(key, item);
    }
    auto remove(const std::string &key) -> void
    {
        items_.erase(key);
        created_.erase(key);
        noteChange(key,
                   R"({"key":")" + key + R"(","removed":true,"revision":)"
                       + std::to_string(++revision_) + '}');
    }
    [[nodiscard]] auto value(const std::string &key) const -> const std::string &
    {
        return values_.at(key);
    }
    [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }
    /// Forgets all changes so far.
    auto forget() -> void { held_ = revision_; }

private:
    struct Change
    {
        std::string key;
        std::string event;
    };

    /// A watch that waits for a change.
    struct Watch
    {
        std::weak_ptr<ScriptedConnection> connection;
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<asio::steady_timer> end;
        bool isAnswered = false;
    };

    static auto parameter(const std::string &request, const std::string &name) -> std::string
    {
        const auto at = request.find(name + '=');
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 1;
        return request.substr(begin, request.find_first_of("& ", begin) - begin);
    }

    static auto number(const std::string &text) -> std::uint64_t
    {
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

    static auto send(ScriptedConnection &connection, const std::string &status,
                     const std::string &body) -> void
    {
        connection.send("HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body);
    }

    auto answer(ScriptedConnection &connection, const std::string &request) -> void
    {
        if (request.find("/v1/kv-watch") == std::string::npos)
            return sendAll(connection);
        const auto after = number(parameter(request, "after"));
        if (after < held_)
            return send(connection, "410 Gone", "{}");
        const auto watch = std::make_shared<Watch>(
            Watch{connection.weak_from_this(), parameter(request, "path-prefix"), after,
                  std::make_shared<asio::steady_timer>(loop_), false});
        if (!events(*watch).empty())
            return sendChanges(*watch);
        watches_.push_back(watch);
        watch->end->expires_after(std::chrono::milliseconds(number(parameter(request, "wait-ms"))));
        watch->end->async_wait([this, watch](auto error) {
            if (!error)
                sendChanges(*watch);
        });
    }

    auto sendAll(ScriptedConnection &connection) -> void
    {
        std::string entries;
        for (const auto &[key, item] : items_)
            entries += (entries.empty() ? "" : ",") + item;
        send(connection, "200 OK",
             R"({"entries":[)" + entries + R"(],"has-more":false,"current-rev":)"
                 + std::to_string(revision_) + '}');
    }

    [[nodiscard]] auto events(const Watch &watch) const -> std::string
    {
        std::string all;
        for (auto change = changes_.upper_bound(watch.after); change != changes_.end(); ++change) {
            if (change->second.key.starts_with(watch.prefix))
                all += (all.empty() ? "" : ",") + change->second.event;
        }
        return all;
    }

    auto sendChanges(Watch &watch) -> void
    {
        const auto connection = watch.connection.lock();
        if (std::exchange(watch.isAnswered, true) || !connection)
            return;
        send(*connection, "200 OK",
             R"({"events":[)" + events(watch) + R"(],"current-rev":)" + std::to_string(revision_)
                 + '}');
    }

    auto noteChange(const std::string &key, const std::string &event) -> void
    {
        changes_[revision_] = {key, event};
        for (const auto &watch : watches_) {
            if (!events(*watch).empty()) {
                watch->end->cancel();
                sendChanges(*watch);
            }
        }
        std::erase_if(watches_, [](const auto &watch) { return watch->isAnswered; });
    }

    asio::io_context &loop_;
    std::uint64_t revision_ = 100;
    std::uint64_t held_ = 0;
    std::map<std::string, std::string> values_;
    std::map<std::string, std::string> items_; // By key, as a read gives them.
    std::map<std::string, std::uint64_t> created_;
    std::map<std::uint64_t, Change> changes_; // By revision.
    std::list<std::shared_ptr<Watch>> watches_;
    ScriptedUpstream server_;
};

} // namespace applehatch::gateway::testing
