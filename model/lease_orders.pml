/* refute: BROKEN_HOLDS BROKEN_ORDER_WAIT BROKEN_FENCING */
/*
 * Orders under the lease of lease.pml, without expiry and restarts.
 *
 * Proved: an order begun under one holder has ended before another holder begins
 * one, if each order ends within LONGEST, whatever the target does; a target
 * that checks the fencing number never takes a lower one after a higher, however
 * late an order arrives. A target that ignores the number is safe only within
 * LONGEST.
 *
 * Guards, and the source that carries each:
 *   BROKEN_HOLDS       the holder checks its term before each act
 *                                                       src/agree/lease.cc
 *   BROKEN_ORDER_WAIT  a successor waits out the longest order
 *                                                       src/agree/lease.cc
 *   BROKEN_FENCING     the target refuses numbers lower than one it has seen
 *                                                       the target's own
 */
#define ORDERS
#include "lease.pml"
