#include "eelgrassbend/bundle/signing.h"

#include <boost/test/unit_test.hpp>

namespace eelgrassbend {

BOOST_AUTO_TEST_CASE(signatures_follow_rfc_8032)
{
    // RFC 8032, section 7.1, test 1.
    const auto key =
        load_signing_key("9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60");
    BOOST_REQUIRE(key);
    BOOST_TEST(key.value().public_key ==
               "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
    BOOST_TEST(sign_message(key.value(), "").value() ==
               "e5564300c360ac729086e2cc806e828a84877f1eb8e5d974d873e06522490155"
               "5fb8821590a33bacc61e39701cf9b46bd25bf5f0595bbe24655141438e7a100b");
}

BOOST_AUTO_TEST_CASE(only_the_right_key_and_message_verify)
{
    const auto key = generate_signing_key().value();
    const auto other = generate_signing_key().value();
    const auto signature = sign_message(key, "message").value();
    BOOST_TEST(verify_signature(key.public_key, "message", signature));
    BOOST_TEST(!verify_signature(key.public_key, "massage", signature));
    BOOST_TEST(!verify_signature(other.public_key, "message", signature));
    BOOST_TEST(!verify_signature(key.public_key, "message", signature.substr(2)));
    BOOST_TEST(!verify_signature("zz", "message", signature));
    BOOST_TEST(!load_signing_key("abc"));
}

} // namespace eelgrassbend
