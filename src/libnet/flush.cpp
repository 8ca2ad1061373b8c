#include "flush_pvt.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace damask::net {

void flushOutput(bufferevent* bev)
{
    const auto socket = bufferevent_getfd(bev);
    auto* output = bufferevent_get_output(bev);
    if (socket < 0 || evbuffer_get_length(output) == 0)
        return;
    // Outside its own writes, a bufferevent freezes the front of its output buffer.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, socket);
    evbuffer_freeze(output, 1);
    if (evbuffer_get_length(output) > 0)
        return;
    // Removing the write event here, before the poller has registered it, costs no system call.
    bufferevent_disable(bev, EV_WRITE);
    bufferevent_trigger(bev, EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

} // namespace damask::net
