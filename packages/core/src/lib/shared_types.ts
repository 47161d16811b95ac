/** Words that several packages share. */

/** Class of an organisation's work. @public */
export type RequestClass = 'paid' | 'trial';

/** What stands behind a sidecar. @public */
export type UpstreamKind = 'engine' | 'service';
