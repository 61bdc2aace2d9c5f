/*
 * NAME
 *	organisations_report - what one daemon knows of organisations
 *
 * DESCRIPTION
 *	Internal to the operator folder.
 */
#ifndef COMFREYDOCKD_OPERATOR_ORGANISATIONS_REPORT_H
#define COMFREYDOCKD_OPERATOR_ORGANISATIONS_REPORT_H

#include "comfreydockd/operator/handler.h"
#include "proto/peer.pb-c.h"

/* A report has at most this many organisations; the rest is cut off. */
#define ORGANISATIONS_REPORT_MAX 512

/* Creates the report of this daemon. RETURN VALUE: to be freed with
 * cfd__organisation_report__free_unpacked(). */
Cfd__OrganisationReport *
organisations_report_create(const struct operator_api *api,
			    const Cfd__OrganisationQuery *query);

#endif
