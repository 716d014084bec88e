#include <LibTransport/DisconnectWatch.h>
#include <LibTransport/H2O.h>
#include <array>
#include <cstring>
#include <sys/epoll.h>

namespace Sassafrasshift::Transport {

// The number of disconnects that are handled at a time, so that many of them do not hold up the open connections.
static constexpr size_t maximumEventsAtATime = 256;

ErrorOr<std::unique_ptr<DisconnectWatch>> DisconnectWatch::create(EventLoop& loop, Handler disconnectHandler, Handler inputHandler)
{
    int descriptor = epoll_create1(EPOLL_CLOEXEC);
    if (descriptor < 0)
        return tl::unexpected(Error::notRun(Reason::InvalidInput, std::string("cannot watch connections: ") + std::strerror(errno)));
    std::unique_ptr<DisconnectWatch> watch(new DisconnectWatch);
    watch->descriptor = descriptor;
    watch->disconnectHandler = std::move(disconnectHandler);
    watch->inputHandler = std::move(inputHandler);
    watch->eventSocket = h2o_evloop_socket_create(loop.nativeLoop(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    watch->eventSocket->data = watch.get();
    h2o_socket_read_start(watch->eventSocket, [](h2o_socket_t* socket, const char* error) {
        if (!error)
            static_cast<DisconnectWatch*>(socket->data)->handleEvents();
    });
    return watch;
}

DisconnectWatch::~DisconnectWatch()
{
    h2o_socket_read_stop(this->eventSocket);
    h2o_socket_close(this->eventSocket);
}

// The kernel removes a closed socket from the set. If a socket cannot be added, its connection is only polled.
void DisconnectWatch::add(h2o_socket_t* socket)
{
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLET;
    if (this->inputHandler)
        event.events |= EPOLLIN;
    event.data.ptr = socket;
    (void)epoll_ctl(this->descriptor, EPOLL_CTL_ADD, h2o_socket_get_fd(socket), &event);
}

void DisconnectWatch::ignoreInput(h2o_socket_t* socket)
{
    epoll_event event {};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.ptr = socket;
    (void)epoll_ctl(this->descriptor, EPOLL_CTL_MOD, h2o_socket_get_fd(socket), &event);
}

void DisconnectWatch::handleEvents()
{
    std::array<epoll_event, maximumEventsAtATime> events {};
    int count = epoll_wait(this->descriptor, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        const auto& event = events.at(static_cast<size_t>(i));
        auto* socket = static_cast<h2o_socket_t*>(event.data.ptr);
        if ((event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
            this->disconnectHandler(socket);
        if ((event.events & EPOLLIN) != 0)
            this->inputHandler(socket);
    }
}

}
