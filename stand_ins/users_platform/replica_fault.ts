/** Faults of the stand-in for a replica. */

/** What goes wrong with all requests from now on. */
export type ReplicaFault =
  | 'none'
  | 'sheds'
  | 'sheds without saying so'
  | 'fails'
  | 'unsigned'
  | 'foreign answer'
  | 'cut in the answer'
  | 'unframed'
  | 'unframed and cut'
  | 'reset before the answer'
  | 'mute'
  | 'cut in an event';
