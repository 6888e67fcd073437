/* How the usage of one window is fixed and reported (src/duty, src/replica/replica.cc),
 * three hosts: the leader counts, has its counts committed, sends what is
 * committed under its term, and sends again what was not answered; calls are
 * carried out at once, late, or never.
 *
 * P1: what is taken for the window is the same each time.
 * P2: no two hosts send one token.
 * P3: with the platform's fence, tokens that are taken never fall.
 *
 * Counts are told apart by the term in which they were made: another leader has
 * heard of other entries. A host that is down or cut off is one that is not
 * reached. Left out: time (leases, the order of holders), other windows. */
#ifndef MUTANT
#define MUTANT 0
#endif
/* 1: what only the leader holds is sent.
 * 2: a new leader counts anew though its log holds the window's counts.
 * 3: the token is the highest that the host has seen, and one.
 * 4: votes are given without looking at the log.
 */
#define N 3
#define MAXTERM 3

byte term[N], vote[N], logterm[N], counts[N];
bool leader[N], committed[N];
/* The platform. */
byte fence = 0, taken = 0, last_token = 0;
byte owner[MAXTERM + 2];
/* One call that is still to be carried out; 0: none. */
byte late_token = 0, late_counts = 0;

inline elect(i) {
  term[i]++; vote[i] = i + 1; leader[i] = false; committed[i] = false;
  n = 1; k = 0;
  do
  :: k < N ->
     if
     :: k != i && term[k] <= term[i] &&
        (term[k] < term[i] || vote[k] == 0) &&
        (MUTANT == 4 || logterm[k] < logterm[i] ||
         (logterm[k] == logterm[i] && (counts[k] == 0 || counts[i] != 0))) ->
        if
        :: term[k] = term[i]; vote[k] = i + 1;
           leader[k] = false; committed[k] = false; n++
        :: skip
        fi
     :: else
     fi; k++
  :: else -> break
  od;
  if
  :: n >= 2 -> leader[i] = true;
     /* Its first entry stands above all that it holds. */
     logterm[i] = term[i];
     if
     :: MUTANT == 2 -> counts[i] = 0
     :: else
     fi
  :: else
  fi
}

inline carry_out(token, what) {
  if
  :: token < fence -> skip
  :: else ->
     assert(token >= last_token); last_token = token;
     fence = token;
     assert(taken == 0 || taken == what);
     taken = what
  fi
}

inline send(i, token) {
  assert(owner[token] == 0 || owner[token] == i + 1);
  owner[token] = i + 1;
  if
  :: carry_out(token, counts[i])
  :: late_token == 0 -> late_token = token; late_counts = counts[i]
  :: skip
  fi
}

proctype Host(byte i) {
  byte n, k, j;
  do
  :: atomic { !leader[i] && term[i] < MAXTERM -> elect(i) }
  :: atomic { leader[i] && counts[i] == 0 -> counts[i] = term[i] }
  :: atomic { leader[i] ->
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: j != i && term[j] <= term[i] ->
          if :: term[j] < term[i] -> vote[j] = 0 :: else fi;
          term[j] = term[i]; leader[j] = false; committed[j] = false;
          logterm[j] = logterm[i]; counts[j] = counts[i]
       :: else
       fi }
  :: atomic { leader[i] && counts[i] != 0 && !committed[i] ->
       n = 0; k = 0;
       do
       :: k < N ->
          if
          :: logterm[k] == term[i] && counts[k] == counts[i] -> n++
          :: else
          fi; k++
       :: else -> break
       od;
       if :: n >= 2 -> committed[i] = true :: else fi }
  :: atomic { leader[i] && counts[i] != 0 &&
              (committed[i] || MUTANT == 1) ->
       if
       :: MUTANT == 3 -> if
          :: fence < MAXTERM -> send(i, fence + 1)
          :: else
          fi
       :: else -> send(i, term[i])
       fi }
  :: atomic { leader[i] -> leader[i] = false; committed[i] = false }
  :: atomic { late_token != 0 ->
       carry_out(late_token, late_counts); late_token = 0; late_counts = 0 }
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
