/* refute: BROKEN_READ_BACK BROKEN_GIVEN_UP BROKEN_HORIZON BROKEN_FORGET BROKEN_RELEASE */
/*
 * Intents of one key of a non-idempotent request. Entries crash and restart
 * with nothing, appends are slow, lost or landed with a lost answer, callers
 * resend, records expire at any moment, and tables forget.
 *
 * Proved: the request runs at most once, and an attempt that was answered
 * "not run" never ran.
 *
 * Guards, and the source that carries each:
 *   BROKEN_READ_BACK  an attempt wins by its own record read back, not by the
 *                     answer to its append          src/agree/intents.cc
 *   BROKEN_GIVEN_UP   an attempt given up never wins src/agree/intents.cc
 *   BROKEN_HORIZON    after a gap in what was read, the key is refused
 *                                                   src/agree/intents.cc
 *   BROKEN_FORGET     forgetting a key raises the horizon
 *                                                   src/agree/key_table.cc
 *   BROKEN_RELEASE    a release frees the key only of the attempt that holds it
 *                                                   src/agree/key_table.cc
 */
#define ENTRIES 2
#define ATTEMPTS 3 /* numbered from 1 */
#define RECORDS 4
#define NOBODY 255

byte record[RECORDS + 1];     /* attempt of the record at an offset from 1 */
bool releases[RECORDS + 1];   /* the record is a release */
byte next = 1;                /* offset of the next append */
byte oldest = 1;              /* oldest offset kept */

byte owner[ATTEMPTS + 1];     /* live entry that made the attempt */
bool in_flight[ATTEMPTS + 1]; /* its append may still land */
bool releasing[ATTEMPTS + 1]; /* a release of it may land, also repeatedly */
bool refused[ATTEMPTS + 1];   /* its caller was told "not run" */
bool ran[ATTEMPTS + 1];
byte attempts = 0;
byte runs = 0;

inline append(a, release) {
  record[next] = a;
  releases[next] = release;
  next++
}

inline refuse(a) {
  refused[a] = true;
  assert(!ran[a])
}

inline run_attempt(a) {
  runs++;
  ran[a] = true;
  assert(runs <= 1);
  assert(!refused[a])
}

/* An append that is lost is one that never lands. */
#define LAND(a) d_step { in_flight[a] && next <= RECORDS -> \
                         in_flight[a] = false; append(a, false) }
#define LAND_RELEASE(a) d_step { releasing[a] && next <= RECORDS -> \
                                 append(a, true) }

proctype Log() {
end:
  do
  :: LAND(1)
  :: LAND(2)
  :: LAND(3)
  :: LAND_RELEASE(1)
  :: LAND_RELEASE(2)
  :: LAND_RELEASE(3)
  :: d_step { oldest < next -> oldest++ }
  od
}

proctype Entry(byte self) {
  byte position = 1;  /* next offset to read */
  byte holder = 0;    /* attempt that holds the key */
  byte waiting = 0;   /* attempt without a decision */
  byte won = 0;       /* attempt that won and has neither run nor been released */
  bool unsure = false; /* the key is at or before the horizon */
  byte a;
end:
  do
  /* A caller's request or its resend. */
  :: d_step { waiting == 0 && won == 0 && attempts < ATTEMPTS &&
              (holder == 0 || releasing[holder]) && !unsure ->
       attempts++;
       waiting = attempts;
       owner[waiting] = self;
       in_flight[waiting] = true }
#ifdef BROKEN_READ_BACK
  :: d_step { waiting != 0 && !in_flight[waiting] ->
       won = waiting; waiting = 0 }
#endif
  /* The time to decide is over, or the log said that it did not append. */
  :: d_step { waiting != 0 -> refuse(waiting);
#ifndef BROKEN_GIVEN_UP
       waiting = 0
#endif
     }
  /* Reads the next record. */
  :: d_step { position < next ->
       if
       :: position < oldest ->
            position = oldest;
#ifndef BROKEN_HORIZON
            unsure = true; holder = 0
#endif
       :: else
       fi;
       if
       :: position < next ->
            a = record[position];
            if
            :: releases[position] ->
#ifdef BROKEN_RELEASE
                 holder = 0
#else
                 if
                 :: holder == a -> holder = 0
                 :: else
                 fi
#endif
            :: else ->
                 if
                 :: holder == 0 && !unsure -> holder = a
                 :: else
                 fi;
                 if
                 :: owner[a] == self && waiting == a && holder == a ->
                      won = a; waiting = 0
                 :: owner[a] == self && waiting == a && holder != a ->
                      if
                      :: unsure -> releasing[a] = true; refuse(a)
                      :: else
                      fi;
                      waiting = 0
                 :: owner[a] == self && waiting != a && won != a && !ran[a] &&
                    (holder == a || unsure) -> releasing[a] = true
                 :: else
                 fi
            fi;
            position++
       :: else
       fi;
       a = 0 }
  :: d_step { won != 0 -> run_attempt(won); won = 0 }
  /* No target took it: it surely did not run. */
  :: d_step { won != 0 -> refuse(won); releasing[won] = true; won = 0 }
  /* The table is full. */
  :: d_step { holder != 0 && won == 0 ->
       holder = 0;
#ifndef BROKEN_FORGET
       unsure = true
#endif
     }
  /* Crash; the next incarnation reads anew what is kept. */
  :: d_step { position > 1 || waiting != 0 || won != 0 ->
       position = 1; holder = 0; waiting = 0; won = 0; unsure = false;
       a = 1;
       do
       :: a <= ATTEMPTS ->
            if
            :: owner[a] == self -> owner[a] = NOBODY
            :: else
            fi;
            a++
       :: else -> break
       od;
       a = 0 }
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. ATTEMPTS) { owner[i] = NOBODY }
    run Log();
    run Entry(0);
    run Entry(1)
  }
}
