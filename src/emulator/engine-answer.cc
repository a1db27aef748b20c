#include "applehatch/emulator/engine-answer.h"

#include "applehatch/core/identity.h"
#include "applehatch/emulator/upstream-server.h"

#include <nlohmann/json.hpp>

namespace applehatch::emulator {

namespace {

constexpr std::size_t defaultTokens = 16;

} // namespace

EngineAnswer::EngineAnswer(std::string_view body)
    : bodyHash_(hex(core::stableHash(body)))
    , tokens_(defaultTokens)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_object()) {
        tokens_ = document.value("max_tokens", defaultTokens);
        stream_ = document.value("stream", false);
    }
}

auto EngineAnswer::token(std::size_t number) const -> std::string
{
    return bodyHash_.substr(0, 8) + "-" + std::to_string(number) + " ";
}

auto EngineAnswer::text() const -> std::string
{
    std::string text;
    for (std::size_t number = 0; number < tokens_; ++number) {
        text += token(number);
    }
    return text;
}

auto EngineAnswer::event(std::size_t number) const -> std::string
{
    if (number >= tokens_) {
        return std::string{streamEnd};
    }
    return R"(data: {"choices":[{"index":0,"delta":{"content":")" + token(number) + "\"}}]}\n\n";
}

auto EngineAnswer::stream() const -> std::string
{
    std::string body;
    for (std::size_t number = 0; number <= tokens_; ++number) {
        body += event(number);
    }
    return body;
}

auto EngineAnswer::plain() const -> std::string
{
    const nlohmann::json document = {
        {"choices", {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text()}}}}}}};
    return document.dump();
}

} // namespace applehatch::emulator
