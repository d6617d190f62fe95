/**
 * The JSON messages of users, workers and the cloud. Protocol field names occur in this package
 * only, except for those of the key-value store, which are in package {@code store}.
 */
package org.ternhinge.wire;
