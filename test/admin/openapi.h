#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace applehatch::test {

/// Holds JSON values against the schemas of an OpenAPI document.
class OpenApi
{
public:
    explicit OpenApi(nlohmann::json document)
        : document_(std::move(document))
    { }

    /// Empty when `value` fits the 200 answer of an operation, else what does not fit.
    [[nodiscard]] auto mismatch(const std::string &path, const std::string &method,
                                const nlohmann::json &value) const -> std::string
    {
        const auto &operation = document_.at("paths").at(path).at(method);
        const auto &content = operation.at("responses").at("200").at("content");
        return fits(content.at("application/json").at("schema"), value, "answer");
    }

    [[nodiscard]] auto paths() const -> const nlohmann::json & { return document_.at("paths"); }

private:
    [[nodiscard]] auto fits(const nlohmann::json &schema, const nlohmann::json &value,
                            const std::string &at) const -> std::string
    {
        if (schema.contains("$ref"))
            return fits(resolve(schema["$ref"]), value, at);
        const auto type = schema.value("type", "");
        if (!hasType(type, value))
            return at + " is not of type " + type;
        if (type == "array")
            return fitsArray(schema, value, at);
        if (type == "object")
            return fitsObject(schema, value, at);
        return {};
    }

    [[nodiscard]] auto resolve(const std::string &reference) const -> const nlohmann::json &
    {
        return document_.at(nlohmann::json::json_pointer(reference.substr(1)));
    }

    static auto hasType(const std::string &type, const nlohmann::json &value) -> bool
    {
        return type.empty() || (type == "object" && value.is_object())
            || (type == "array" && value.is_array()) || (type == "string" && value.is_string())
            || (type == "integer" && value.is_number_integer())
            || (type == "number" && value.is_number()) || (type == "boolean" && value.is_boolean());
    }

    [[nodiscard]] auto fitsArray(const nlohmann::json &schema, const nlohmann::json &value,
                                 const std::string &at) const -> std::string
    {
        for (const auto &item : value) {
            if (auto wrong = fits(schema.at("items"), item, at + "[]"); !wrong.empty())
                return wrong;
        }
        return {};
    }

    [[nodiscard]] auto fitsObject(const nlohmann::json &schema, const nlohmann::json &value,
                                  const std::string &at) const -> std::string
    {
        for (const auto &name : schema.value("required", nlohmann::json::array())) {
            if (!value.contains(name.get<std::string>()))
                return at + " lacks " + name.get<std::string>();
        }
        const auto properties = schema.value("properties", nlohmann::json::object());
        for (const auto &[name, item] : value.items()) {
            const auto known = properties.contains(name);
            if (!known && !schema.value("additionalProperties", nlohmann::json()).is_object())
                return at + " has an undescribed " + name;
            const auto &inner = known ? properties[name] : schema.at("additionalProperties");
            if (auto wrong = fits(inner, item, at + '.' + name); !wrong.empty())
                return wrong;
        }
        return {};
    }

    nlohmann::json document_;
};

} // namespace applehatch::test
