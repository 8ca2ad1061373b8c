/// \file
/// Tests of kj byte streams on the libevent loop.
#include <boost/test/unit_test.hpp>

#include <damaskworks/loop.h>
#include <damaskworks/rpc.h>

using namespace damask;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(streamAppliesBackPressureAndDeliversAllBytes)
{
    Loop loop;
    KjLoop kjLoop(loop.base());
    kj::Own<kj::AsyncIoStream> accepted;
    RpcListener listener(loop.base(), [&](kj::Own<kj::AsyncIoStream> stream) { accepted = kj::mv(stream); });
    const auto port = *listener.listen({ "127.0.0.1", 0 });
    auto client = rpc::connect(loop.base(), { "127.0.0.1", port });
    BOOST_REQUIRE(loop.runUntil([&] { return accepted.get() != nullptr; }, 5s));

    const std::string sent(64 << 20, 'x');
    bool isWritten = false;
    auto writePromise
        = client->write(sent.data(), sent.size()).then([&] { isWritten = true; }).eagerlyEvaluate(nullptr);
    loop.runUntil([&] { return isWritten; }, 100ms);
    BOOST_TEST(!isWritten); // Back-pressure: the other side does not read yet.
    std::string received(sent.size(), ' ');
    accepted->read(received.data(), received.size()).wait(kjLoop.waitScope());
    BOOST_TEST((received == sent));
    BOOST_TEST(loop.runUntil([&] { return isWritten; }, 5s));

    client = nullptr;
    char byteAfterEnd;
    BOOST_TEST(accepted->tryRead(&byteAfterEnd, 1, 1).wait(kjLoop.waitScope()) == 0u);
}
