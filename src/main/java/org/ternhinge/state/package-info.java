/**
 * Client of the state service: keys, transactions, leases and watches, with outcomes that are
 * applied, not applied or unknown.
 */
package org.ternhinge.state;
