/* refute: NO_FOLD_WITHDRAWN_GUARD NO_FOLD_FINAL_GUARD NO_FENCING NO_STICKY_FACT NO_REVISION_GUARD NO_READY_GUARD NO_RECORD_RETRY */
/* Advance by the log against withdrawal by one witness.
 *
 * Two control daemons look at one move. Each may believe that it holds the
 * lease; a step that it planned may be appended long after. The fold decides by
 * the log's order. A withdrawal is a fact that spreads by gossip from any
 * daemon, with the log up or down, and is recorded once the log is up. Entries
 * learn the log's state, from it or from a peer's copy, and the fact late, each
 * in its own time, and may be restarted.
 *
 * Checked:
 *  - the log never has the move done and rolled back, and an end stays;
 *  - no move is done once its version's withdrawal is recorded;
 *  - no record of an older lease term takes effect after a newer one's;
 *  - an entry that knew of the withdrawal, or had read that the move is rolled
 *    back, never offers the version again, also after a restart;
 *  - when all is quiet, a withdrawn version is recorded and offered nowhere.
 *
 * Each macro of the first line takes one guard out; Spin must then find an
 * error.
 */

#define DAEMONS 2
#define ENTRIES 1 /* entries do not read one another, so one stands for all */
#define MAX_TERM 2
#define MAX_APPENDS 5

mtype = { LOADING, GROWING, BAKING, DONE, ROLLED_BACK };

/* The log and what its fold has made of it. */
bool log_up = true;
mtype phase = LOADING;
bool log_withdrawn = false;
byte fold_fencing = 0;
byte revision = 0;
byte term = 0;
byte appends = 0;

/* A copy of the folded state that a peer still hands on. */
mtype copy_phase = LOADING;
bool copy_withdrawn = false;
byte copy_revision = 0;

/* The evidence, and the fact that gossip carries. */
bool fault = false;
bool withdrawn = false;

/* History, for the checks only. */
bool was_done = false;
bool was_rolled_back = false;
bool stale_applied = false;
bool knew[ENTRIES];
bool offers[ENTRIES];

#define ENDED(p) (p == DONE || p == ROLLED_BACK)
#define OFFERED(p) (p == GROWING || p == BAKING || p == DONE)

/* Folds a progress record of lease term `f`. */
inline fold_progress(next, f) {
  revision++;
  if
#ifndef NO_FOLD_FINAL_GUARD
  :: ENDED(phase) -> skip
#endif
#ifndef NO_FENCING
  :: f < fold_fencing -> skip
#endif
#ifndef NO_FOLD_WITHDRAWN_GUARD
  :: log_withdrawn && next != ROLLED_BACK -> skip
#endif
  :: else ->
    stale_applied = stale_applied || (f < fold_fencing);
    fold_fencing = f;
    was_done = was_done || (next == DONE);
    was_rolled_back = was_rolled_back || (next == ROLLED_BACK);
    assert(!(next == DONE && log_withdrawn));
    phase = next
  fi;
  assert(!(was_done && was_rolled_back));
  assert(!stale_applied)
}

inline record_withdrawal() {
  log_withdrawn = true;
  revision++
}

/* Chooses the next step from what the log says now. */
inline plan_step(next, knows) {
  if
  :: ENDED(phase) -> next = LOADING
  :: !ENDED(phase) -> next = ROLLED_BACK  /* withdrawn, or out of time */
  :: !knows && phase == LOADING -> next = GROWING
  :: !knows && phase == GROWING -> next = BAKING
  :: !knows && phase == BAKING -> next = DONE
  fi
}

active [DAEMONS] proctype Daemon() {
  bool knows = false;
  mtype planned = LOADING;  /* LOADING: no step planned */
  byte my_term = 0;
end:
  do
  :: atomic { log_up && term < MAX_TERM -> term++; my_term = term }
  :: atomic { log_up && my_term > 0 && planned == LOADING && !ENDED(phase) &&
       appends < MAX_APPENDS -> plan_step(planned, knows) }
  :: atomic { log_up && planned != LOADING ->
       if
       :: appends < MAX_APPENDS ->
            appends++;
            fold_progress(planned, my_term)
       :: else -> skip
       fi;
       planned = LOADING }
  :: atomic { fault && !knows ->  /* one witness is enough */
       knows = true;
       withdrawn = true;
       if
       :: log_up && !log_withdrawn -> record_withdrawal()
       :: else -> skip
       fi }
  :: atomic { withdrawn && !knows -> knows = true }
#ifndef NO_RECORD_RETRY
  :: atomic { knows && log_up && !log_withdrawn -> record_withdrawal() }
#endif
  od
}

/* What an entry does with a state of revision `r`. */
inline take_state(p, w, r) {
  my_revision = r;
  my_phase = p;
#ifdef NO_STICKY_FACT
  my_withdrawn = w;
#else
  my_withdrawn = my_withdrawn || w;
#endif
  update_offer()
}

inline update_offer() {
  offers[me] = ready && !my_withdrawn && OFFERED(my_phase);
  knew[me] = knew[me] || my_withdrawn || my_phase == ROLLED_BACK;
  assert(!(offers[me] && knew[me]))
}

active [ENTRIES] proctype Entry() {
  byte me = _pid - DAEMONS;
  bool ready = true;
  bool restarted = false;
  bool my_withdrawn = false;
  mtype my_phase = LOADING;
  byte my_revision = 0;
end:
  do
  :: atomic { ready && log_up && my_revision < revision ->
       take_state(phase, log_withdrawn, revision) }
#ifndef NO_REVISION_GUARD
  :: atomic { ready && my_revision < copy_revision ->
       take_state(copy_phase, copy_withdrawn, copy_revision) }
#else
  :: atomic { ready && my_revision != copy_revision ->
       take_state(copy_phase, copy_withdrawn, copy_revision) }
#endif
  :: atomic { ready && withdrawn && !my_withdrawn ->
       my_withdrawn = true;
       update_offer() }
  :: atomic { !restarted ->  /* forgets all */
       restarted = true;
       my_withdrawn = false;
       my_phase = LOADING;
       my_revision = 0;
       offers[me] = false;
#ifdef NO_READY_GUARD
       ready = true
#else
       ready = false
#endif
     }
  /* Ready only with the newest state and the peers' facts. */
  :: atomic { !ready && log_up ->
       ready = true;
       my_withdrawn = withdrawn;
       take_state(phase, log_withdrawn, revision) }
  od
}

active proctype Environment() {
  bool outage = false;
end:
  do
  :: atomic { log_up && !outage -> log_up = false; outage = true }
  :: atomic { !log_up -> log_up = true }
  :: atomic { !fault -> fault = true }
  :: atomic { copy_revision < revision ->
       copy_phase = phase;
       copy_withdrawn = log_withdrawn;
       copy_revision = revision }
  od
}

active proctype Quiet() {
  timeout;
  assert(!withdrawn || (log_withdrawn && !offers[0]))
}
