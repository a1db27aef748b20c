/// An upstream in trouble that sends bytes without end.
#pragma once

#include "gateway-fixture.h"

#include <memory>
#include <string>
#include <utility>

namespace applehatch::gateway::testing {

/// Sends `part` again and again until the gateway closes the connection.
class EndlessSender : public std::enable_shared_from_this<EndlessSender>
{
public:
    EndlessSender(asio::io_context &loop, ScriptedConnection &connection, std::string part)
        : timer_(loop)
        , connection_(connection)
        , part_(std::move(part))
    { }

    auto start() -> void
    {
        if (++sent_ > most)
            return;
        connection_.send(part_);
        timer_.expires_after(1ms);
        timer_.async_wait([self = shared_from_this()](auto error) {
            if (!error)
                self->start();
        });
    }

private:
    static constexpr int most = 3000;

    asio::steady_timer timer_;
    ScriptedConnection &connection_;
    std::string part_;
    int sent_ = 0;
};

} // namespace applehatch::gateway::testing
