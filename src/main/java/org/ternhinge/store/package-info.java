/**
 * Client of the key-value store: keys, transactions, leases and watches. The outcome of a call is
 * applied, not applied or unknown.
 */
package org.ternhinge.store;
