/** Tables of the state of one instance on which routing decisions are based. */
package org.oatlug.internal.table;
