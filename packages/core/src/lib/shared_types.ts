/** Types that several packages share. */

/** Service class of an organisation's requests. @public */
export type RequestClass = 'paid' | 'trial';

/** Kind of upstream that a sidecar runs beside. @public */
export type UpstreamKind = 'engine' | 'service';
