/// The platform's store: items, ranges and watches, read only for the system.
#pragma once

#include "net.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

class Store
{
public:
    explicit Store(const std::string &ip);
    ~Store();
    Store(const Store &) = delete;
    auto operator=(const Store &) -> Store & = delete;

    [[nodiscard]] auto address() const -> const Endpoint & { return address_; }
    auto put(const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &key) -> void;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event
    {
        std::string key;
        Item item;
        bool removed = false;
    };

    auto accept() -> void;
    auto serve(Socket &socket) -> void;
    auto answer(const std::string &target) -> std::pair<int, std::string>;
    auto range(const std::string &prefix, const std::string &after) -> std::string;
    auto watch(const std::string &prefix, std::uint64_t after, Milliseconds wait) -> std::string;

    Endpoint address_;
    Socket listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> events_;
    std::uint64_t revision_ = 1;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> serving_ = 0;
    std::thread acceptor_;
};

} // namespace review
