#include "body-fields.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace applehatch::router {

namespace {

// Keeps only the top-level fields that routing needs. A body of megabytes is mostly one long text,
// and parsing it into a document would take several times its size in memory for each caller.
class FieldHandler : public nlohmann::json_sax<nlohmann::json>
{
public:
    auto null() -> bool override { return other(); }
    auto number_integer(number_integer_t /*value*/) -> bool override { return other(); }
    auto number_unsigned(number_unsigned_t /*value*/) -> bool override { return other(); }
    auto number_float(number_float_t /*value*/, const string_t & /*text*/) -> bool override
    {
        return other();
    }
    auto binary(binary_t & /*value*/) -> bool override { return other(); }

    auto boolean(bool value) -> bool override
    {
        if (!at("stream"))
            return other();
        fields.stream = value;
        return true;
    }

    auto string(string_t &value) -> bool override
    {
        if (at("model"))
            fields.model = std::move(value);
        else if (at("pool"))
            fields.pool = std::move(value);
        else
            return other();
        return true;
    }

    auto key(string_t &value) -> bool override
    {
        if (depth_ == 1)
            key_ = std::move(value);
        return true;
    }

    auto start_object(std::size_t /*count*/) -> bool override { return enter(); }
    auto start_array(std::size_t /*count*/) -> bool override { return depth_ > 0 && enter(); }
    auto end_object() -> bool override { return leave(); }
    auto end_array() -> bool override { return leave(); }

    auto parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) -> bool override
    {
        return false;
    }

    BodyFields fields;

private:
    [[nodiscard]] auto at(const char *name) const -> bool { return depth_ == 1 && key_ == name; }

    // Skips a value of any other type, but rejects it when it belongs to one of the needed fields.
    [[nodiscard]] auto other() const -> bool
    {
        return depth_ > 0 && !at("model") && !at("pool") && !at("stream");
    }

    auto enter() -> bool
    {
        if (depth_ == 1 && !other())
            return false;
        ++depth_;
        return true;
    }

    auto leave() -> bool
    {
        --depth_;
        return true;
    }

    int depth_ = 0;
    std::string key_;
};

} // namespace

auto readBodyFields(const std::string &body) -> std::optional<BodyFields>
{
    FieldHandler handler;
    if (!nlohmann::json::sax_parse(body, &handler))
        return std::nullopt;
    return std::move(handler.fields);
}

} // namespace applehatch::router
