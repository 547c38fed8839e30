/** Decisions on zones and regions: which zones are evacuated, and where requests may go. */
package org.tanagerbank.zone;
