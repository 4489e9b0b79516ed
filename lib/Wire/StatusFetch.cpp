/// \file
/// Implements the status request on Boost.Beast.
#include "StatusFetch.h"

#include "AsioLoop.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>

namespace ragwort {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// One status request. Owned by its pending operations.
class StatusFetch : public std::enable_shared_from_this<StatusFetch>
{
public:
    StatusFetch(EventLoop &loop, std::string serverAddress, BackendClient::StatusCompletion onCompletion)
        : address(std::move(serverAddress)), completion(std::move(onCompletion)), socket(loop.implementation().context), timer(loop.implementation().context)
    {
    }

    void start(Duration timeout)
    {
        const std::optional<Tcp::endpoint> endpoint = parseEndpoint(this->address);
        if (!endpoint) {
            this->finish(this->error(Errc::malformedInput, "connect"));
            return;
        }
        this->timer.expires_after(timeout);
        this->timer.async_wait([self = this->shared_from_this()](const ErrorCode &error) {
            if (!error) {
                self->finish(self->error(Errc::timeout, "status"));
            }
        });
        this->socket.async_connect(*endpoint, [self = this->shared_from_this()](const ErrorCode &error) {
            if (error) {
                self->finish(self->error(Errc::connectFailed, "connect"));
                return;
            }
            self->sendRequest();
        });
    }

private:
    Error error(Errc code, const char *step) const
    {
        return {.code = code, .step = step, .peer = this->address, .detail = {}};
    }

    void sendRequest()
    {
        this->request.method(http::verb::get);
        this->request.target("/v1/status");
        this->request.version(11);
        this->request.set(http::field::host, this->address);
        this->request.keep_alive(false);
        http::async_write(this->socket, this->request, [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
            if (error) {
                self->finish(self->error(Errc::connectionLost, "status"));
                return;
            }
            http::async_read(self->socket, self->buffer, self->response, [self](const ErrorCode &readError, std::size_t) {
                if (readError || self->response.result_int() != 200) {
                    self->finish(self->error(Errc::connectionLost, "status"));
                    return;
                }
                self->finish(decodeServerStatus(self->response.body(), self->address));
            });
        });
    }

    void finish(Result<ServerStatus> result)
    {
        const BackendClient::StatusCompletion callback = std::exchange(this->completion, nullptr);
        this->timer.cancel();
        ErrorCode ignored;
        this->socket.close(ignored);
        if (callback) {
            callback(std::move(result));
        }
    }

    std::string address;
    BackendClient::StatusCompletion completion;
    Tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    http::response<http::string_body> response;
};

} // namespace

void fetchServerStatus(EventLoop &loop, const std::string &address, Duration timeout, BackendClient::StatusCompletion completion)
{
    std::make_shared<StatusFetch>(loop, address, std::move(completion))->start(timeout);
}

} // namespace ragwort
