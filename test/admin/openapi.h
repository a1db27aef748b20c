#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace applehatch::test {

/// Validates JSON values against the schemas of an OpenAPI document.
class OpenApi
{
public:
    explicit OpenApi(nlohmann::json document)
        : document_(std::move(document))
    { }

    /// Returns the first mismatch between `value` and the schema of an operation's 200 answer;
    /// empty when `value` is valid.
    [[nodiscard]] auto mismatch(const std::string &path, const std::string &method,
                                const nlohmann::json &value) const -> std::string
    {
        const auto &operation = document_.at("paths").at(path).at(method);
        const auto &content = operation.at("responses").at("200").at("content");
        return findMismatch(content.at("application/json").at("schema"), value, "answer");
    }

    [[nodiscard]] auto paths() const -> const nlohmann::json & { return document_.at("paths"); }

private:
    [[nodiscard]] auto findMismatch(const nlohmann::json &schema, const nlohmann::json &value,
                                    const std::string &at) const -> std::string
    {
        if (schema.contains("$ref"))
            return findMismatch(resolve(schema["$ref"]), value, at);
        const auto type = schema.value("type", "");
        if (!hasType(type, value))
            return at + " is not of type " + type;
        if (type == "array")
            return findArrayMismatch(schema, value, at);
        if (type == "object")
            return findObjectMismatch(schema, value, at);
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

    [[nodiscard]] auto findArrayMismatch(const nlohmann::json &schema, const nlohmann::json &value,
                                         const std::string &at) const -> std::string
    {
        for (const auto &item : value) {
            if (auto error = findMismatch(schema.at("items"), item, at + "[]"); !error.empty())
                return error;
        }
        return {};
    }

    [[nodiscard]] auto findObjectMismatch(const nlohmann::json &schema, const nlohmann::json &value,
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
            if (auto error = findMismatch(inner, item, at + '.' + name); !error.empty())
                return error;
        }
        return {};
    }

    nlohmann::json document_;
};

} // namespace applehatch::test
