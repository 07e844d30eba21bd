/** Identifies a request by its content, in hexadecimal; equal each time the request comes again. */
export type RequestDigest = string;
