/* The control group's protocol as built (src/replica/replica.cc), three members:
 * election with the log check, replication, quorum commit before an
 * acknowledgement, read barrier, crash, one lost disk whose host comes back
 * under a new id and is let in again once it has caught up.
 *
 * P1: whoever is elected holds every acknowledged version.
 * P2: an answered read shows every version acknowledged before it.
 *
 * A host that is down or cut off is one that is not reached; a crash ends a
 * leadership. Left out: messages as such (a call and its reply are one step), time, pre-votes, more than one change of members at
 * once, snapshots (a log is its last term and version). */
#ifndef MUTANT
#define MUTANT 0
#endif
/* 1: a host that lost its disk votes and counts as before.
 * 2: acknowledged when only the leader holds it.
 * 3: reads are answered without asking the others.
 * 4: votes are given without looking at the log.
 * 5: a leader lets a host in without a majority.
 */
#define N 3
#define MAXTERM 3
#define MAXVER 2

byte term[N], vote[N], logterm[N], ver[N];
bool leader[N], out[N];
byte acked = 0;
bool wiped = false;

inline count_holders(i, n) {
  n = 0; k = 0;
  do
  :: k < N ->
     if
     :: !out[k] && logterm[k] == logterm[i] && ver[k] >= ver[i] -> n++
     :: else
     fi; k++
  :: else -> break
  od
}

inline count_followers(i, n) {
  /* Hosts that would take an entry from i now. */
  n = 0; k = 0;
  do
  :: k < N ->
     if
     :: !out[k] && term[k] <= term[i] ->
        if :: n++ :: k != i -> skip fi
     :: else
     fi; k++
  :: else -> break
  od
}

inline elect(i) {
  /* i asks for votes in a new term; each other host may be out of reach. */
  term[i]++; vote[i] = i + 1; leader[i] = false; n = 1; k = 0;
  do
  :: k < N ->
     if
     :: k != i && !out[k] && term[k] <= term[i] &&
        (term[k] < term[i] || vote[k] == 0) &&
        (MUTANT == 4 || logterm[k] < logterm[i] ||
         (logterm[k] == logterm[i] && ver[k] <= ver[i])) ->
        if
        :: term[k] = term[i]; vote[k] = i + 1; leader[k] = false; n++
        :: skip
        fi
     :: else
     fi; k++
  :: else -> break
  od;
  if
  :: n >= 2 -> leader[i] = true; assert(ver[i] >= acked)
  :: else
  fi
}

proctype Host(byte i) {
  byte n, k, j;
  do
  :: atomic { !out[i] && !leader[i] && term[i] < MAXTERM -> elect(i) }
  :: atomic { leader[i] && ver[i] < MAXVER ->
       ver[i]++; logterm[i] = term[i] }
  :: atomic { leader[i] ->
       /* Replicates to some host that is up and has no newer term. */
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: j != i && term[j] <= term[i] ->
          if :: term[j] < term[i] -> vote[j] = 0
          :: else fi;
          term[j] = term[i]; leader[j] = false;
          logterm[j] = logterm[i]; ver[j] = ver[i]
       :: else
       fi }
  :: atomic { leader[i] && logterm[i] == term[i] ->
       /* Lets a caught-up host in again: the old identity's removal and the
        * new one's entry are committed by the other two. Mutant 5: alone. */
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: out[j] && term[j] == term[i] &&
          logterm[j] == logterm[i] && ver[j] == ver[i] ->
          count_followers(i, n);
          if
          :: n >= 2 || MUTANT == 5 -> out[j] = false
          :: else
          fi
       :: else
       fi }
  :: atomic { leader[i] && logterm[i] == term[i] && ver[i] > acked ->
       count_holders(i, n);
       if
       :: n >= 2 || MUTANT == 2 -> acked = ver[i]
       :: else
       fi }
  :: atomic { leader[i] ->
       /* A read: the barrier needs a majority that knows no newer term. */
       count_followers(i, n);
       if
       :: n >= 2 || MUTANT == 3 -> assert(ver[i] >= acked)
       :: else
       fi }
  :: atomic { leader[i] -> leader[i] = false }
  :: atomic { !wiped ->
       wiped = true; leader[i] = false;
       term[i] = 0; vote[i] = 0; logterm[i] = 0; ver[i] = 0;
       if
       :: MUTANT == 1 -> skip
       :: else -> out[i] = true
       fi }
  od
}

init {
  atomic {
    byte b = 0;
    do
    :: b < N -> run Host(b); b++
    :: else -> break
    od
  }
}
