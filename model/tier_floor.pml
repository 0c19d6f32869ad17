/* refute: BROKEN_NO_SETTLE BROKEN_CLOSE_TOGETHER BROKEN_REOPEN_EARLY BROKEN_EXPIRE_AT_ONCE BROKEN_JOIN_EMPTY BROKEN_IGNORE_PEERS */
/*
 * Tier floor of entries that share targets: src/schedule/tier_floor.h.
 *
 * Ranks 0, 1, 2; rank 2 is shed first. own[i] is the least rank closed by entry
 * i itself, NONE if none; seen[] is what an entry last heard of another's. An
 * entry dispatches no rank that it or a peer that it heard of has closed.
 *
 * Claim: when an entry refuses rank r for lack of capacity, every entry in
 * contact with it has closed all ranks greater than r.
 *
 * The settle time is at least the time that gossip takes between entries in
 * contact, and the hold time is at least the settle time. Both are modelled by
 * what has then surely happened: the value was heard by all in contact.
 *
 * An entry that was cut off, or starts, takes over what those in contact know
 * before it counts as in contact. Entries 0 and 1 may be lost. What is known of an entry that was lost rises
 * one rank per settle time, so no two in contact are more than one rank apart.
 */
#define N 3
#define NONE 3
#define RESET i = 0; j = 0; r = 0; k = 0

byte own[N];
byte seen[N * N];
bool settled[N];
bool cut[N];

#define SEEN(j, i) seen[(j) * N + (i)]
#define IN_CONTACT(i, j) (!cut[i] && !cut[j])
#define HEARD(i, j) ((i) == (j) || !IN_CONTACT(i, j) || SEEN(j, i) == own[i])
#define ALL_HEARD(i) (HEARD(i, 0) && HEARD(i, 1) && HEARD(i, 2))

#ifdef BROKEN_IGNORE_PEERS
#define CLOSED_AT(j, r) (own[j] <= (r))
#else
#define CLOSED_AT(j, r) \
  (own[j] <= (r) || SEEN(j, 0) <= (r) || SEEN(j, 1) <= (r) || SEEN(j, 2) <= (r))
#endif

/* Whether what j knows of the lost entry x may rise without leaving behind k. */
#define MAY_RISE(j, x, k) (!IN_CONTACT(j, k) || SEEN(k, x) >= SEEN(j, x))

/* Whether entry j serves nothing worth less than rank r. */
#define NONE_BELOW(i, j, r) \
  (!IN_CONTACT(i, j) || (r) == 2 || CLOSED_AT(j, (r) + 1))

inline shed(i, r) {
  assert(NONE_BELOW(i, 0, r) && NONE_BELOW(i, 1, r) && NONE_BELOW(i, 2, r))
}

/* Work of rank r runs short at entry i. */
inline shortage(i, r) {
  if
  :: own[i] > r + 1 && (own[i] == NONE || settled[i]) ->
#ifdef BROKEN_CLOSE_TOGETHER
     own[i] = r + 1;
#else
     own[i] = own[i] - 1;
#endif
     SEEN(i, i) = own[i];
     settled[i] = false;
     /* Waiting work of the closed rank gives way at once. */
     shed(i, own[i])
  :: else
  fi
}

/* Entry i refuses work of rank r. */
inline refuse(i, r) {
  if
  :: r == 2 || CLOSED_AT(i, r) -> shed(i, r)
#ifdef BROKEN_NO_SETTLE
  :: own[i] <= r + 1 -> shed(i, r)
#else
  :: own[i] <= r + 1 && settled[i] -> shed(i, r)
#endif
  :: else
  fi
}

inline settle(i) {
  if
  :: own[i] != NONE && ALL_HEARD(i) -> settled[i] = true
  :: else
  fi
}

/* The hold time is over without a shortage. */
inline reopen(i) {
  if
#ifdef BROKEN_REOPEN_EARLY
  :: own[i] != NONE ->
#else
  :: own[i] != NONE && ALL_HEARD(i) ->
#endif
     own[i] = own[i] + 1;
     settled[i] = settled[i] && own[i] != NONE;
     SEEN(i, i) = own[i]
  :: else
  fi
}

inline hear(j, i) {
  if
  :: IN_CONTACT(i, j) -> SEEN(j, i) = own[i]
  :: else
  fi
}

/* Entry w raises what it knows of a lost entry x. */
inline expire(w, x) {
  if
#ifdef BROKEN_EXPIRE_AT_ONCE
  :: cut[x] && w != x -> SEEN(w, x) = NONE
#else
  :: cut[x] && w != x && SEEN(w, x) < NONE && MAY_RISE(w, x, 0) &&
     MAY_RISE(w, x, 1) && MAY_RISE(w, x, 2) ->
     SEEN(w, x) = SEEN(w, x) + 1
#endif
  :: else
  fi
}

/* Entry i comes into contact again with all that are not cut off. */
inline heal(i) {
  cut[i] = false;
  for (k : 0 .. N - 1) {
    if
    :: k != i && !cut[k] ->
       SEEN(k, i) = own[i];
       SEEN(i, k) = own[k];
#ifndef BROKEN_JOIN_EMPTY
       /* The third entry, if it is lost. */
       j = N - i - k;
       if
       :: cut[j] -> SEEN(i, j) = SEEN(k, j)
       :: else
       fi
#endif
    :: else
    fi
  }
}

init {
  byte i, j, r, k;
  atomic {
    for (i : 0 .. N - 1) {
      own[i] = NONE
    }
    for (i : 0 .. N * N - 1) {
      seen[i] = NONE
    }
    i = 0
  };
  do
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       if :: r = 0 :: r = 1 :: r = 2 fi;
       if
       :: r < 2 -> d_step { shortage(i, r); RESET }
       :: d_step { refuse(i, r); RESET }
       :: d_step { settle(i); RESET }
       :: d_step { reopen(i); RESET }
       :: d_step { hear(r, i); RESET }
       :: d_step { expire(i, r); RESET }
       :: i < 2 && !cut[i] -> d_step { cut[i] = true; RESET }
       :: cut[i] -> d_step { heal(i); RESET }
       fi
     }
  od
}
