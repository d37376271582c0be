#define BOOST_TEST_MODULE eelgrassbend
#include <boost/test/unit_test.hpp>
