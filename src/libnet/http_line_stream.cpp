#include <damaskworks/http.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

namespace damask {

struct HttpLineStream::Impl {
    std::function<void(std::string_view)> onLine;
    std::function<void(int)> onEnd;
    evhttp_connection* connection = nullptr;
    std::string buffered; ///< received bytes that are not yet a whole line
    bool isEnded = false; ///< whether onEnd has been called or the stream is being destroyed

    /// Moves \p input to the buffer and passes on its whole lines.
    void readLines(evbuffer* input)
    {
        const auto length = evbuffer_get_length(input);
        const auto oldSize = buffered.size();
        buffered.resize(oldSize + length);
        evbuffer_remove(input, buffered.data() + oldSize, length);
        std::size_t start = 0;
        for (auto end = buffered.find('\n'); end != std::string::npos; end = buffered.find('\n', start)) {
            onLine(std::string_view(buffered).substr(start, end - start));
            start = end + 1;
        }
        buffered.erase(0, start);
    }

    static void onChunk(evhttp_request* request, void* argument)
    {
        static_cast<Impl*>(argument)->readLines(evhttp_request_get_input_buffer(request));
    }

    static void onDone(evhttp_request* request, void* argument)
    {
        auto& impl = *static_cast<Impl*>(argument);
        if (impl.isEnded)
            return;
        impl.isEnded = true;
        const int status = request ? evhttp_request_get_response_code(request) : 0;
        if (request)
            impl.readLines(evhttp_request_get_input_buffer(request));
        if (!impl.buffered.empty())
            impl.onLine(impl.buffered);
        impl.onEnd(status);
    }
};

HttpLineStream::HttpLineStream(event_base* base, const Address& address, const std::string& target,
    std::function<void(std::string_view)> onLine, std::function<void(int)> onEnd)
    : m_impl(new Impl { std::move(onLine), std::move(onEnd) })
{
    m_impl->connection
        = evhttp_connection_base_bufferevent_new(base, nullptr, nullptr, address.ip.c_str(), address.port);
    auto* request = evhttp_request_new(Impl::onDone, m_impl.get());
    evhttp_request_set_chunked_cb(request, Impl::onChunk);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", http::toString(address).c_str());
    evhttp_make_request(m_impl->connection, request, EVHTTP_REQ_GET, target.c_str());
}

HttpLineStream::~HttpLineStream()
{
    m_impl->isEnded = true;
    evhttp_connection_free(m_impl->connection);
}

} // namespace damask
