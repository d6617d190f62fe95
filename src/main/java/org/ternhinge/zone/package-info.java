/**
 * The loss and return of zones: which zones may take new work, in which order and how fast work of
 * a lost zone moves, and how fast a zone that has returned takes work again. Decides where and when
 * attempts are opened, never whether one is over.
 */
package org.ternhinge.zone;
