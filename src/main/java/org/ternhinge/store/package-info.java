/**
 * Client of the key-value store: keys, transactions, leases and watches, with outcomes that are
 * applied, not applied or unknown.
 */
package org.ternhinge.store;
