"""Admission control for replicas: which requests to admit so that memory rarely overflows."""

from hornbeamglade.admission.margincontrol import MarginController, MarginSettings
from hornbeamglade.admission.policies import AdmissionPolicy, FixedReserve, PresentMemory
from hornbeamglade.admission.replicaadmission import AdmissionSettings, ReplicaAdmission
from hornbeamglade.admission.tokenledger import Ledger, LedgerSettings, LoadView

__all__ = [
    "AdmissionPolicy",
    "AdmissionSettings",
    "FixedReserve",
    "Ledger",
    "LedgerSettings",
    "LoadView",
    "MarginController",
    "MarginSettings",
    "PresentMemory",
    "ReplicaAdmission",
]
