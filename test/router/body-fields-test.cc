#include "body-fields.h"

#include <boost/test/unit_test.hpp>

namespace applehatch::router {

BOOST_AUTO_TEST_CASE(only_top_level_fields_of_a_json_object_count)
{
    struct Row
    {
        std::string body;
        bool read;
        std::string model;
        bool stream;
    };
    const std::vector<Row> rows{
        {R"({"model": "m", "stream": true})", true, "m", true},
        {R"({"messages": [{"model": "x", "stream": true}], "model": "m"})", true, "m", false},
        {R"({"a": {"pool": 1, "b": [[]]}, "n": [1, -2, 3.5, null]})", true, "", false},
        {R"({"model": 5})", false, "", false},
        {R"({"stream": "true"})", false, "", false},
        {R"({"model": {}})", false, "", false},
        {R"({"model": "m")", false, "", false},
        {R"(["model"])", false, "", false},
        {R"("model")", false, "", false},
        {"{} {}", false, "", false},
        {"", false, "", false},
        {std::string(100000, '['), false, "", false},
    };
    for (const auto &row : rows) {
        const auto fields = readBodyFields(row.body);
        BOOST_TEST(fields.has_value() == row.read, row.body.substr(0, 80));
        if (fields) {
            BOOST_TEST(fields->model == row.model);
            BOOST_TEST(fields->stream == row.stream);
        }
    }
}

} // namespace applehatch::router
