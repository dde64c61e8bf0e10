/** Messages of the claim protocol between coordinators and replicas; the claims module extends it. */

/** Request and reply type of each claim call. Filled by the claims module. */
// eslint-disable-next-line @typescript-eslint/no-empty-object-type
export interface ClaimCalls {}
