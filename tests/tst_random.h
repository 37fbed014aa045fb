/**
 * @file
 * Pseudo-random number generator with a fixed seed, so that a failing test can
 * be repeated.
 *
 * @code
 * struct tst_random rnd = { .state = 7 };
 * uint64_t die = tst_random (&rnd) % 6;
 * @endcode
 */
#ifndef TST_RANDOM_H
#define TST_RANDOM_H

#include <stdint.h>

struct tst_random
{
  uint64_t state; /**< initially the seed; any value is valid */
};

/** Returns the next number of the splitmix64 generator. */
static inline uint64_t
tst_random (struct tst_random *rnd)
{
  uint64_t z = rnd->state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

#endif
