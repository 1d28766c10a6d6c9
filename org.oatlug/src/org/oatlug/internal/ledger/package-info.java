/** Claims and bills that are kept at the platform. */
package org.oatlug.internal.ledger;
