/* One read of the upstream list by several processes (src/duty/list_parts,
 * src/shared_lister): the leader asks a reader for the pages from a token on,
 * and asks for the next part only when that one has arrived. Readers may be
 * killed, may freeze after they have read and wake with an old part, and the
 * leader may lose its leadership. The source changes in between.
 *
 * P1: every part of a published list was read no earlier than the list claims.
 * P2: no part was kept while a lost reader was waited for.
 * P3: a leader that was deposed publishes nothing.
 * P4: whoever is lost, the leader's read comes to an end.
 *
 * A list is two parts. The content of a part is the source's state when it was
 * read. Left out: what changes a page within one read, how long a pause of a
 * failed reader is, a reader that refuses. */
#ifndef MUTANT
#define MUTANT 0
#endif
/* 1: the leader takes any answer, also that to an earlier part.
 * 2: it keeps the parts read before a reader was lost.
 * 3: the age of the list counts from its end.
 * 4: a read goes on after the leader was deposed.
 * 5: the leader asks the lost reader again in the same read.
 */
#define CHANGES 2
#define READS 2

byte now = 0;           /* State of the source, and the time. */
byte waits = 0;         /* Number of times that a lost reader was waited for. */
bool leads = true;
bool killed[2];

/* The open request, and answers on their way by reader. */
byte number = 0;        /* Part that the leader awaits; 0: none. */
byte last_number = 0;
byte asked_number[2], asked_part[2];
bool answered[2];
byte answer_number[2], answer_part[2], answer_state[2];

byte part_state[2], part_waits[2];
byte parts = 0;         /* Parts that the leader holds. */
byte began = 0, reader = 0, reads = 0, losses = 0;
bool alone = false;     /* The leader reads the rest of the list by itself. */

inline ask(r) {
  last_number++; number = last_number; reader = r;
  asked_number[r] = number; asked_part[r] = parts
}

inline begin_read() {
  began = now; parts = 0; alone = false; losses = 0
}

inline take(p, s) {
  part_state[p] = s; part_waits[p] = waits; parts++; number = 0
}

/* An answer of reader `r` arrives. */
inline arrive() {
  if
  :: (number != 0 && answer_number[r] == number) ||
     (MUTANT == 1 && number != 0 && answer_part[r] == parts) ->
     take(parts, answer_state[r])
  :: else
  fi
}

inline publish() {
  if :: MUTANT == 3 -> began = now :: else fi;
  assert(part_state[0] >= began && part_state[1] >= began);      /* P1 */
  assert(part_waits[0] == part_waits[1]);                        /* P2 */
  assert(leads);                                                 /* P3 */
  reads++; begin_read()
}

proctype Source() {
  do
  :: atomic { now < CHANGES -> now++ }
  :: now == CHANGES -> break
  od
}

proctype Reader(byte r) {
  byte state, n, p;
  do
  :: atomic { asked_number[r] != 0 && !killed[r] ->
       n = asked_number[r]; p = asked_part[r]; asked_number[r] = 0;
       state = now }
     /* It may freeze here, and wake much later. */
     atomic { if
       :: !killed[r] -> answered[r] = true; answer_number[r] = n;
          answer_part[r] = p; answer_state[r] = state
       :: killed[r] -> skip
       fi }
  :: atomic { !killed[r] -> killed[r] = true; break }
  :: atomic { reads == READS || !leads -> break }
  od
}

proctype Leader() {
  byte r;
  do
  :: atomic { reads < READS && parts < 2 && number == 0 && !alone && leads ->
       if :: r = 0 :: r = 1 fi; ask(r) }
  :: atomic { reads < READS && parts < 2 && alone && number == 0 &&
              (leads || MUTANT == 4) -> take(parts, now) }
  :: atomic { answered[0] -> r = 0; answered[0] = false; arrive() }
  :: atomic { answered[1] -> r = 1; answered[1] = false; arrive() }
  :: atomic { number != 0 && leads ->       /* The reader counts as lost. */
       number = 0; waits++; losses++;
       assert(losses <= 1);                                      /* P4 */
       if
       :: MUTANT == 2 -> alone = true
       :: MUTANT == 5 -> parts = 0; began = now
       :: else -> parts = 0; began = now; alone = true
       fi }
  :: atomic { parts == 2 && reads < READS && (leads || MUTANT == 4) ->
       publish() }
  :: atomic { leads && reads < READS -> leads = false;
       if :: MUTANT == 4 :: MUTANT != 4 -> number = 0; parts = 0 fi }
  :: atomic { reads == READS || !leads -> break }
  od
}

init { atomic { run Source(); run Reader(0); run Reader(1); run Leader() } }
