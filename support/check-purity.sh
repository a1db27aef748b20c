#!/usr/bin/env bash
# Fails when a decision package refers to I/O, threads, a clock or an unseeded random source.
# Without this a decision could read the real clock and a failure seen in a test bench would not
# replay from its seed.
set -euo pipefail
forbidden='\b(socket|connect|sendto|recvfrom|open|open64|fopen|pthread_create|clock_gettime|gettimeofday|time|nanosleep|getrandom|rand|random)$'
forbidden_cxx='std::(chrono::_V2::(steady|system)_clock::now|thread::|random_device|mutex|condition_variable|basic_[io]?fstream)'
status=0
for library in "$@"; do
  if nm -u "$library" | awk '{print $2}' | grep -E "^$forbidden" ||
     nm -uC "$library" | grep -E "$forbidden_cxx"; then
    echo "$library refers to the symbols above" >&2
    status=1
  fi
done
exit $status
