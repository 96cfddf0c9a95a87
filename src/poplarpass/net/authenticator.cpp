#include <poplarpass/net/authenticator.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cassert>
#include <stdexcept>

namespace poplarpass::net
{
namespace internal
{
constexpr std::size_t minMacBytes = 16;

auto require(int outcome, const char *operation) -> void
{
    if (outcome != 1) {
        throw std::runtime_error{std::string{"libcrypto failed: "} + operation};
    }
}

auto dataOf(std::string_view bytes) -> const unsigned char *
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

struct mac_deleter
{
    auto operator()(EVP_MAC *mac) const -> void
    {
        EVP_MAC_free(mac);
    }

    auto operator()(EVP_MAC_CTX *context) const -> void
    {
        EVP_MAC_CTX_free(context);
    }
};

using context_pointer = std::unique_ptr<EVP_MAC_CTX, mac_deleter>;

auto makeContext(std::string_view key) -> context_pointer
{
    const std::unique_ptr<EVP_MAC, mac_deleter> mac{EVP_MAC_fetch(nullptr, "HMAC", nullptr)};
    require(mac ? 1 : 0, "EVP_MAC_fetch");
    context_pointer context{EVP_MAC_CTX_new(mac.get())};
    require(context ? 1 : 0, "EVP_MAC_CTX_new");
    char digest[] = "SHA256";
    const OSSL_PARAM parameters[] = {OSSL_PARAM_construct_utf8_string("digest", digest, 0), OSSL_PARAM_construct_end()};
    require(EVP_MAC_init(context.get(), dataOf(key), key.size(), parameters), "EVP_MAC_init");
    return context;
}
} // namespace internal

struct authenticator::implementation
{
    internal::context_pointer context;
};

authenticator::authenticator(std::string_view key)
    : m_implementation{std::make_unique<implementation>()}
{
    m_implementation->context = internal::makeContext(key);
}

authenticator::~authenticator() = default;
authenticator::authenticator(authenticator &&) noexcept = default;
auto authenticator::operator=(authenticator &&) noexcept -> authenticator & = default;

// Duplicating the keyed context costs less than setting the key of a new one for each message.
auto authenticator::sign(std::initializer_list<std::string_view> parts) const -> message_mac
{
    const internal::context_pointer context{EVP_MAC_CTX_dup(m_implementation->context.get())};
    internal::require(context ? 1 : 0, "EVP_MAC_CTX_dup");
    for (const auto part : parts) {
        internal::require(EVP_MAC_update(context.get(), internal::dataOf(part), part.size()), "EVP_MAC_update");
    }
    message_mac result{};
    std::size_t length = 0;
    internal::require(EVP_MAC_final(context.get(), result.data(), &length, result.size()), "EVP_MAC_final");
    assert(length == result.size());
    return result;
}

auto authenticator::verify(std::initializer_list<std::string_view> parts, std::string_view mac) const -> bool
{
    assert(mac.size() >= internal::minMacBytes);
    const auto expected = sign(parts);
    return mac.size() <= expected.size() && CRYPTO_memcmp(expected.data(), mac.data(), mac.size()) == 0;
}

auto bytesOf(const message_mac &mac) -> std::string_view
{
    return {reinterpret_cast<const char *>(mac.data()), mac.size()};
}

auto randomNonce() -> std::string
{
    std::string nonce(nonceBytes, '\0');
    internal::require(RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), nonceBytes), "RAND_bytes");
    return nonce;
}
} // namespace poplarpass::net
