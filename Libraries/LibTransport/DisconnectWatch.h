#pragma once

#include <LibTransport/EventLoop.h>
#include <functional>
#include <memory>

struct st_h2o_socket_t;

namespace Sassafrasshift::Transport {

/// Watches connections whose sockets are not being read for clients that disconnect. The cost depends on the number of disconnects,
/// not on the number of connections.
class DisconnectWatch {
public:
    using Handler = std::function<void(st_h2o_socket_t*)>;

    /// Calls the first handler once for each watched connection that a client ends or resets. Bytes that the client sent before may still
    /// be unread. If there is a second handler, it is called for each watched connection on which bytes have arrived, whether or not they
    /// were read. Fails with Reason::InvalidInput if the process has too many descriptors open.
    [[nodiscard]] static ErrorOr<std::unique_ptr<DisconnectWatch>> create(EventLoop&, Handler disconnectHandler, Handler inputHandler = {});
    ~DisconnectWatch();
    DisconnectWatch(const DisconnectWatch&) = delete;
    DisconnectWatch& operator=(const DisconnectWatch&) = delete;

    /// Watches a connection until its socket is closed.
    void add(st_h2o_socket_t*);
    /// Tells no more of bytes that arrive on a watched connection, only of its end.
    void ignoreInput(st_h2o_socket_t*);

private:
    DisconnectWatch() = default;
    void handleEvents();

    int descriptor { -1 };
    st_h2o_socket_t* eventSocket { nullptr };
    Handler disconnectHandler;
    Handler inputHandler;
};

}
