/// \file
/// Writes the output of a bufferevent immediately.
#pragma once

struct bufferevent;

namespace damask::net {

/// Writes the buffered output of \p bev to the socket. If the socket accepts all of it, the write callback
/// runs in the next iteration of the event loop. This saves the wait for the poller that a bufferevent
/// otherwise needs for each write. The bufferevent writes any remainder in the usual way.
void flushOutput(bufferevent* bev);

} // namespace damask::net
