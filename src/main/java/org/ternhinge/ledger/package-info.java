/**
 * Records of jobs and task attempts: the ledger in memory, its encoding, recovery and writing, and
 * the one function that admits a start.
 */
package org.ternhinge.ledger;
