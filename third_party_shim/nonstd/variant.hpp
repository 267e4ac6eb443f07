// RESTinio includes <nonstd/variant.hpp>; Debian ships the file inside
// RESTinio's own folder, so this header forwards to it.
#pragma once
#include <restinio/third_party/variant-lite/variant.hpp>
