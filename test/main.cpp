#define BOOST_TEST_MODULE galenalink
#include <boost/test/unit_test.hpp>
