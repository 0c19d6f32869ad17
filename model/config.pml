/* refute: BROKEN_EXPECTED BROKEN_GAP BROKEN_PARTS BROKEN_SUFFIX BROKEN_PEER BROKEN_SCANNED BROKEN_LOST_ANSWER */
/*
 * Configuration stream with one resource. Two operators race at two daemons;
 * appends are slow, lost or landed with a lost answer; records expire at any
 * moment; snapshots of two parts are appended; daemons restart with nothing and
 * take each other's states.
 *
 * Proved: a state in force is the fold of the whole stream up to its revision
 * and never goes back, no record is passed over, and what operators are told is
 * true.
 *
 * Guards, and the source that carries each:
 *   BROKEN_EXPECTED     a record counts only on the version that its writer saw
 *                                                  src/config/config_state.cc
 *   BROKEN_GAP          after a gap nothing is folded until a snapshot or a
 *                       peer's state closes it      src/config/config_tail.cc
 *   BROKEN_PARTS        a snapshot counts when all its parts were read
 *                                               src/config/snapshot_record.cc
 *   BROKEN_SUFFIX       after a snapshot, reading goes on at its revision
 *                                                   src/config/config_tail.cc
 *   BROKEN_PEER         only a peer's higher revision is taken
 *                                                   src/config/config_tail.cc
 *   BROKEN_SCANNED      records passed while looking for a snapshot are read
 *                       again after a peer's state  src/config/config_tail.cc
 *   BROKEN_LOST_ANSWER  an append with a lost answer is resolved by reading
 *                                                   src/config/config_tail.cc
 */
#define DAEMONS 2
#define RECORDS 4
#define PUT_A 1 /* the operators' records */
#define PUT_B 2
#define PART_1 3 /* of the snapshot */
#define PART_2 4
#define KINDS 4
#define GARBAGE 99

byte record[RECORDS + 1];  /* kind of the record at an offset from 1 */
byte next = 1;
byte oldest = 1;
byte truth[RECORDS + 1];   /* resource's version after each offset */

bool in_flight[KINDS + 1];
byte expected[3];          /* version that each operator's record names */
bool proposed[3];
bool told_failed[3];
bool snapshot_made = false;
byte snapshot_revision;
byte snapshot_version;

/* Published states; revision 0 of a new stream is a state too. */
bool ready[DAEMONS];
byte revision[DAEMONS];
byte version[DAEMONS];

#define LAND(kind)                                                        \
  d_step { in_flight[kind] && next <= RECORDS ->                          \
    in_flight[kind] = false;                                              \
    record[next] = kind;                                                  \
    truth[next] = truth[next - 1];                                        \
    if                                                                    \
    :: kind < PART_1 && expected[kind] == truth[next - 1] ->              \
         truth[next] = next;                                              \
         assert(!told_failed[kind])                                       \
    :: else                                                               \
    fi;                                                                   \
    next++ }

proctype Log() {
end:
  do
  :: LAND(1)
  :: LAND(2)
  :: LAND(3)
  :: LAND(4)
  :: d_step { oldest < next -> oldest++ }
  od
}

inline publish() {
  assert(!whole || folded + 1 == position);
  if
  :: whole && (ready[self] || position == next) &&
     (!ready[self] || folded > revision[self]) ->
       ready[self] = true;
       revision[self] = folded;
       version[self] = value;
       assert(value == truth[folded])
  :: else
  fi
}

inline fold_put(kind) {
  if
  :: whole ->
       if
       :: expected[kind] == value -> value = position
       :: else ->
#ifdef BROKEN_EXPECTED
            value = (self == 1 -> position : value)
#endif
            skip
       fi;
       folded = position
  :: else
  fi;
  position++
}

inline take_part(last) {
  if
  :: whole -> folded = position; position++
  :: !whole && !last -> first_part = true; position++
#ifdef BROKEN_PARTS
  :: !whole && last && snapshot_revision + 1 >= oldest ->
#else
  :: !whole && last && first_part && snapshot_revision + 1 >= oldest ->
#endif
       value = (first_part -> snapshot_version : GARBAGE);
       folded = snapshot_revision;
       whole = true;
#ifdef BROKEN_SUFFIX
       position++
#else
       position = snapshot_revision + 1
#endif
  :: else -> position++
  fi
}

proctype Daemon(byte self) {
  byte position = 1;
  byte folded = 0;   /* revision of the state being folded */
  byte value = 0;    /* the resource's version in it */
  bool whole = true; /* it holds all records before position */
  bool first_part = false;
end:
  do
  /* An operator's change, on the version that this daemon has in force. */
  :: d_step { ready[self] && !proposed[self + 1] ->
       proposed[self + 1] = true;
       in_flight[self + 1] = true;
       expected[self + 1] = version[self] }
#ifdef BROKEN_LOST_ANSWER
  :: d_step { in_flight[self + 1] && !told_failed[self + 1] ->
       told_failed[self + 1] = true }
#endif
  :: d_step { ready[self] && whole && !snapshot_made ->
       snapshot_made = true;
       snapshot_revision = revision[self];
       snapshot_version = version[self];
       in_flight[PART_1] = true;
       in_flight[PART_2] = true }
  :: d_step { position < next ->
       if
       :: position < oldest ->
            position = oldest;
            first_part = false;
#ifndef BROKEN_GAP
            whole = false
#endif
       :: else
       fi;
       if
       :: position == next
       :: position < next && record[position] == PUT_A -> fold_put(PUT_A)
       :: position < next && record[position] == PUT_B -> fold_put(PUT_B)
       :: position < next && record[position] == PART_1 -> take_part(false)
       :: position < next && record[position] == PART_2 -> take_part(true)
       fi;
       publish() }
  /* A new stream without records. */
  :: d_step { !ready[self] && next == 1 -> publish() }
  /* The other daemon's state. */
#ifdef BROKEN_PEER
  :: d_step { ready[1 - self] && revision[1 - self] != folded ->
#else
  :: d_step { ready[1 - self] &&
              (!ready[self] || revision[1 - self] > revision[self]) &&
              (!whole || revision[1 - self] > folded) ->
#endif
       assert(!ready[self] || revision[1 - self] >= revision[self]);
       folded = revision[1 - self];
       value = version[1 - self];
       ready[self] = true;
       revision[self] = folded;
       version[self] = value;
       first_part = false;
#ifdef BROKEN_SCANNED
       whole = true;
       position = (position > folded + 1 -> position : folded + 1)
#else
       whole = folded + 1 >= oldest;
       position = (whole -> folded + 1 : position)
#endif
     }
  :: d_step { ready[self] || position > 1 ->
       position = 1; folded = 0; value = 0; whole = true; first_part = false;
       ready[self] = false; revision[self] = 0; version[self] = 0 }
  od
}

init {
  atomic {
    run Log();
    run Daemon(0);
    run Daemon(1)
  }
}
