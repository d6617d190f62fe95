/** Client-side rate limiting of calls to remote systems, by token buckets. */
package org.ternhinge.limit;
