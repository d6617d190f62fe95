/**
 * Records of jobs and task attempts: the ledger in memory, admission control for starts, and the
 * encoding, recovery and writing of records.
 */
package org.ternhinge.ledger;
