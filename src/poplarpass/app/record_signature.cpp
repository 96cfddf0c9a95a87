#include <poplarpass/app/record_signature.h>
#include <poplarpass/net/authenticator.h>

#include <memory>

namespace poplarpass::app
{
namespace
{
// Domain separation: prevents the tag of a log record from being accepted for a peer message under the same key.
constexpr std::string_view purpose = "poplarpass log record";
} // namespace

auto makeRecordAuthenticator(std::string_view secret) -> codec::record_authenticator
{
    auto keyed = std::make_shared<net::authenticator>(secret);
    codec::record_authenticator authenticator;
    authenticator.sign = [keyed](std::string_view bytes) {
        return std::string{net::bytesOf(keyed->sign({purpose, bytes}))};
    };
    authenticator.verify = [keyed](std::string_view bytes, std::string_view tag) {
        return tag.size() == net::macBytes && keyed->verify({purpose, bytes}, tag);
    };
    return authenticator;
}
} // namespace poplarpass::app
